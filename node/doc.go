// Package node joins the parts of the daemon that serves callers on the users' platform.
package node
