// Package sock looks at sockets in ways that the standard library does not offer.
package sock
