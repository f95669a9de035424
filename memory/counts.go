package memory

import "sync/atomic"

const (
	// KindConnection counts connections that were closed at once because the listener has too many.
	KindConnection Kind = iota
	// KindUnproven counts connections that were closed because they had said nothing valid when others came.
	KindUnproven
	// KindTeam counts sessions that were refused because their team has too many.
	KindTeam
	// KindFirstMessage counts first messages that were too long.
	KindFirstMessage
	// KindSlowMessage counts messages that took too long from their beginning to their end.
	KindSlowMessage
	// KindSlowReader counts answers that were not read in time.
	KindSlowReader
	// KindRequest counts messages that were refused for want of memory.
	KindRequest
	// KindAnswer counts answers that were not received for want of memory.
	KindAnswer
	// KindSession counts session values and prepared statements that were refused.
	KindSession
	// KindPeerMessage counts messages of other VMs that were refused for want of memory.
	KindPeerMessage
	// KindDatagram counts datagrams of other VMs that could not be decoded.
	KindDatagram
	// KindLogLine counts log lines about invalid messages that were left out.
	KindLogLine
	// KindAccept counts connections that could not be accepted.
	KindAccept

	kinds = int(KindAccept) + 1
)

var kindNames = [kinds]string{
	"Connection", "Unproven", "Team", "FirstMessage", "SlowMessage", "SlowReader", "Request", "Answer", "Session", "PeerMessage", "Datagram", "LogLine", "Accept",
}

type (
	// Kind is a kind of refusal.
	Kind int

	// Counts counts refusals by kind; it is safe for concurrent use. A nil Counts counts nothing.
	Counts struct {
		counts [kinds]atomic.Int64
	}

	// Count is how often something of a kind was refused.
	Count struct {
		Kind  Kind
		Times int64
	}
)

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Add counts a refusal.
func (c *Counts) Add(kind Kind) {
	if c != nil {
		c.counts[kind].Add(1)
	}
}

// Take returns the refusals since the last call, of those kinds that there were.
func (c *Counts) Take() []Count {
	var found []Count
	for kind := range c.counts {
		if n := c.counts[kind].Swap(0); n > 0 {
			found = append(found, Count{Kind: Kind(kind), Times: n})
		}
	}
	return found
}
