package model

import (
	"context"
	"net/netip"
)

// VM is a VM that runs the daemon, as the platform lists it.
type VM struct {
	ID      VMID
	Domain  Domain
	Address netip.AddrPort
	Leaving bool
}

// VMLister returns the platform's list of live and leaving VMs, which lags behind the actual state.
type VMLister interface {
	// VMs returns the list as the platform last updated it.
	VMs(ctx context.Context) ([]VM, error)
}
