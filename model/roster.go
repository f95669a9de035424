package model

import (
	"context"
	"net/netip"
)

// VM is an entry VM as the platform lists it.
type VM struct {
	ID      VMID
	Domain  Domain
	Address netip.AddrPort
	Leaving bool
}

// VMLister is the platform's list of live and leaving VMs, which lags.
type VMLister interface {
	// VMs returns the list as the platform last saw it.
	VMs(ctx context.Context) ([]VM, error)
}
