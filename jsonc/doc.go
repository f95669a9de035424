// Package jsonc parses JSON with comments and checks it while it is read. It collects every mistake as a finding with its
// location, so that a user sees all of them at once.
package jsonc
