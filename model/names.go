package model

type (
	// VMID names a VM that runs the daemon.
	VMID string
	// BootID names one run of the process on a VM; a restarted process has another.
	BootID string
	// Domain names a failure domain.
	Domain string
	// Region names a set of failure domains, such as those of one country.
	Region string
	// TeamName names a team, which is a customer.
	TeamName string
	// RouteName names a route, to which callers send statements.
	RouteName string
	// GroupName names a database group.
	GroupName string
	// InstanceName names an instance inside its group.
	InstanceName string
	// KeyID is the public part of a caller's key.
	KeyID string
	// RequestID names a caller's request, so that repeating the request is idempotent.
	RequestID string
	// Term numbers the primaries of a group; a higher term replaces a lower one.
	Term int64
	// Position is an index in the log of a group.
	Position int64
	// Version is the number of changes of the view.
	Version int64
)

// InstanceRef names an instance among all groups.
type InstanceRef struct {
	Group    GroupName
	Instance InstanceName
}

// String returns the reference as Group/Instance.
func (r InstanceRef) String() string {
	return string(r.Group) + "/" + string(r.Instance)
}

// ProxyTeam is the team name of connections on which the proxy sends only status requests and administrative statements.
const ProxyTeam TeamName = "-"
