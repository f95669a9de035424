// Package conns shares the few connections that an instance takes among the teams of a VM.
package conns
