// Package sock checks sockets in ways that the standard library does not offer.
package sock
