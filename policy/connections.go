package policy

// MinConnectionsPerTeam is the number of connections to an instance for each team below which teams have to share connections. VMs limit the statements
// that run at such an instance at once.
const MinConnectionsPerTeam = 2
