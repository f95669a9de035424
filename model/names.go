package model

type (
	// VMID names an entry VM.
	VMID string
	// BootID names one life of a process on a VM; a restarted process has another.
	BootID string
	// Domain names a failure domain.
	Domain string
	// TeamName names a team, which is a tenant.
	TeamName string
	// RouteName names a route, on which callers send statements.
	RouteName string
	// GroupName names a database group.
	GroupName string
	// InstanceName names an instance inside its group.
	InstanceName string
	// KeyID is the public part of a caller's key.
	KeyID string
	// RequestID names a caller's request and makes a repeat idempotent.
	RequestID string
	// Term counts the primaries of a group; a higher term replaces a lower one.
	Term int64
	// Position is a place in the log of a group.
	Position int64
	// Version counts the changes of the view.
	Version int64
)

// InstanceRef names an instance in the whole fleet.
type InstanceRef struct {
	Group    GroupName
	Instance InstanceName
}

// String returns the reference as Group/Instance.
func (r InstanceRef) String() string {
	return string(r.Group) + "/" + string(r.Instance)
}

// ProxyTeam is the team name of connections on which the proxy only asks and orders.
const ProxyTeam TeamName = "-"
