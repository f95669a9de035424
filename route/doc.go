// Package route ranks the instances that may serve a read, and decides whether an answer includes what a session has already observed.
package route
