// Package reach decides whether a VM is in touch with enough of the fleet to be sent callers.
package reach
