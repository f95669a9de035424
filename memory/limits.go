package memory

import "time"

const (
	// FreeBytes is the size up to which a message is covered by connectionCost. Ordinary messages are smaller.
	FreeBytes = 4 << 10
	// MediumBytes is the size up to which a message counts as medium; a larger one is large.
	MediumBytes = 32 << 10
	// mediumCost is the memory in bytes that a medium message may take while it is received, run and answered: its buffer and a copy.
	mediumCost = 2 * MediumBytes
	// largeCost is the memory in bytes that a message of 1 MiB may take: its buffer, a copy, and a buffer that it has outgrown.
	largeCost = 3 << 20
	// SessionBytes is the most that the values and the prepared statements of a session may take. It is more than one message.
	SessionBytes = 1280 << 10
	// SessionEntries is the most values and prepared statements that a session may have.
	SessionEntries = 1000
	// HeavyBytes is the size of values, or of a prepared statement, from which a connection to an instance is closed after use, so that it does not keep
	// them.
	HeavyBytes = 4 << 10
	// EntryBytes is the memory that a value or a prepared statement takes beyond its text.
	EntryBytes = 128

	// budgetShare is the share of the memory of the VM that clients may take. The rest is for the program, its state and the garbage that is not
	// collected yet.
	budgetShare = 0.3
	// connectionCost is the memory in bytes that a connection takes: its goroutine, its buffers and its session.
	connectionCost = 16 << 10
	// connectionShare and the following are shares of the budget; peerShare is that of large messages of other VMs.
	connectionShare = 0.32
	mediumShare     = 0.05
	largeShare      = 0.15
	sessionShare    = 0.08
	peerShare       = 0.15
	// teamShare is the share of a limit that one team may use.
	teamShare = 0.5

	// fileFds is the number of descriptors that are reserved for files.
	fileFds = 200
	// callerFds and the following are shares of the remaining descriptors. What is left is for connections to instances, the store and other VMs.
	callerFds = 0.5
	streamFds = 0.2
	peerFds   = 0.125
	probeFds  = 0.016
	// minProbes is the minimum limit on the connections to the listeners for readiness and metrics, which get few requests.
	minProbes = 16
	// unprovenShare is the share of the connections to a listener that may have sent nothing valid yet. Many clients connect at once after an outage.
	unprovenShare = 0.5

	// defaultRAM, in bytes, and defaultFds apply where the settings name no limit.
	defaultRAM = 512 << 20
	defaultFds = 8192

	// ProveTime is how long a connection that has said nothing valid yet is safe from being closed in favor of a new one.
	ProveTime = 200 * time.Millisecond
	// RoomTimeout bounds the wait of a message for room.
	RoomTimeout = time.Second
	// PeerRoomTimeout bounds the wait of a message of another VM for room. It is short, since its statement has a deadline.
	PeerRoomTimeout = 200 * time.Millisecond
)

type (
	// Limits are the limits of a process.
	Limits struct {
		// Callers, Streams, Peers and Probes limit the connections to a listener: that for callers, for statements of other VMs, for other requests of
		// other VMs, and for readiness or metrics.
		Callers, Streams, Peers, Probes GateLimits
		// Bytes are the shares of the uses.
		Bytes map[Use]int64
	}

	// GateLimits limit the connections to one listener.
	GateLimits struct {
		// Connections limits all, Unproven those that have said nothing valid yet, and Team those of one team.
		Connections, Unproven, Team int
	}
)

// LimitsFor returns the limits of a process on a VM with some bytes of memory and file descriptors; 0 takes a default.
func LimitsFor(ram int64, fds int) Limits {
	if ram <= 0 {
		ram = defaultRAM
	}
	if fds <= 0 {
		fds = defaultFds
	}
	budget, free := budgetShare*float64(ram), float64(max(0, fds-fileFds))
	share := func(part float64, least int64) int64 { return max(int64(part*budget), least) }
	probes := gateLimits(max(int(probeFds*free), minProbes))
	probes.Unproven = probes.Connections
	return Limits{
		Callers: gateLimits(min(int(callerFds*free), int(connectionShare*budget)/connectionCost)),
		Streams: gateLimits(int(streamFds * free)), Peers: gateLimits(int(peerFds * free)), Probes: probes,
		Bytes: map[Use]int64{
			UseMediumRequests: share(mediumShare, mediumCost), UseLargeRequests: share(largeShare, largeCost),
			UseMediumAnswers: share(mediumShare, mediumCost), UseLargeAnswers: share(largeShare, largeCost),
			UseSessions: share(sessionShare, SessionBytes), UseMediumPeers: share(mediumShare, mediumCost), UseLargePeers: share(peerShare, largeCost),
		},
	}
}

func gateLimits(connections int) GateLimits {
	connections = max(1, connections)
	return GateLimits{
		Connections: connections, Unproven: max(1, int(unprovenShare*float64(connections))), Team: max(1, int(teamShare*float64(connections))),
	}
}
