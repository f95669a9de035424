// Package pool provides the client of a database instance and a pool of open connections to it.
package pool
