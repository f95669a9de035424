// Package logs writes structured log lines without ever blocking the work that they describe.
package logs
