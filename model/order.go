package model

import "net/netip"

// OrderKind is what an instance is ordered to become.
type OrderKind string

const (
	// OrderFence makes the instance refuse all lower terms.
	OrderFence OrderKind = "Fence"
	// OrderLead makes the instance the primary of a term.
	OrderLead OrderKind = "Lead"
	// OrderFollow makes the instance a replica of the given primary.
	OrderFollow OrderKind = "Follow"
)

// Order is a request to an instance to change its role.
type Order struct {
	Kind    OrderKind
	Term    Term
	Primary netip.AddrPort
}
