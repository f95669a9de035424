// Package status shares what instances answered to status requests, and what their answers to statements show of their state, among the
// requests about the same instance within a short time.
package status
