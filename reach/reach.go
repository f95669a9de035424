package reach

import "time"

const (
	// maxAge is how old what comes all the time may get; the store and the reader of a failure domain confirm their copies, and pass on
	// positions, about once a second.
	maxAge = 1200 * time.Millisecond
	// minIsolationTime is how long the signs must last, so that one answer that is late changes nothing.
	minIsolationTime = 250 * time.Millisecond
)

// Inputs is what a VM knows of its contact with the store and with the groups.
type Inputs struct {
	// TableAge is how long ago the table of the fleet was current, as the store or any VM tells.
	TableAge time.Duration
	// PositionAges are how long ago the position of each group that replicas serve was last proven.
	PositionAges []time.Duration
}

// IsolationDetector tells from signs over time whether a VM is cut off; it is not safe for concurrent use.
type IsolationDetector struct {
	// since is when the signs began to say so; it is zero while they do not.
	since time.Time
}

// Isolated tells whether the signs have said for a while that the VM is cut off.
func (j *IsolationDetector) Isolated(now time.Time, s Inputs) bool {
	if !isIsolated(s) {
		j.since = time.Time{}
		return false
	}
	if j.since.IsZero() {
		j.since = now
	}
	return now.Sub(j.since) >= minIsolationTime
}

// isIsolated tells whether callers are served better elsewhere: neither the store nor a VM that reaches it answers, and most groups are out
// of reach. An outage of the store alone leaves the groups in reach, and the loss of groups leaves the store.
func isIsolated(s Inputs) bool {
	if s.TableAge <= maxAge {
		return false
	}
	lost := 0
	for _, age := range s.PositionAges {
		if age > maxAge {
			lost++
		}
	}
	return lost*2 > len(s.PositionAges)
}
