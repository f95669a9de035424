// Package limits contains only tests: they run the daemon as a process with small limits, and clients that misbehave. Each test has one kind of client
// and checks that the process lives, that its memory and its descriptors stay under the limits of its settings, and that it serves an ordinary request.
package limits
