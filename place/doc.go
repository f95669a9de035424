// Package place decides at which instance of a group a statement runs.
package place
