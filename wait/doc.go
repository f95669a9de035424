// Package wait decides whether a request waits for something that it lacks or is refused at once, and when the caller of a refused request
// may return.
package wait
