// Package wire is the protocol between entry VMs, generated from wire.proto.
package wire
