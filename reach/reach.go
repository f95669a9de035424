package reach

import "time"

const (
	// maxAge is the age above which the cached table or a log position counts as not refreshed. The store and the reader of a failure domain
	// refresh them about once a second.
	maxAge = 1200 * time.Millisecond
	// minIsolationTime is how long a VM must appear isolated, so that one late answer changes nothing.
	minIsolationTime = 250 * time.Millisecond
)

// Inputs is what a VM has observed of its contact with the store and with the groups.
type Inputs struct {
	// TableAge is the time since the cached table of the cluster state was current, as confirmed by the store or by any VM.
	TableAge time.Duration
	// PositionAges are the ages of the last position sample of each group that replicas serve.
	PositionAges []time.Duration
}

// IsolationDetector decides from inputs over time whether a VM is isolated. It is not safe for concurrent use.
type IsolationDetector struct {
	// since is when the inputs began to show isolation, or zero while they do not.
	since time.Time
}

// Isolated records the inputs at an instant and reports whether they have shown for minIsolationTime that the VM is isolated.
func (d *IsolationDetector) Isolated(now time.Time, in Inputs) bool {
	if !isIsolated(in) {
		d.since = time.Time{}
		return false
	}
	if d.since.IsZero() {
		d.since = now
	}
	return now.Sub(d.since) >= minIsolationTime
}

// isIsolated reports whether callers are served better by other VMs: neither the store nor a VM that reaches it answers, and most groups
// are unreachable. In an outage of the store alone the groups stay reachable. If groups fail, the store stays reachable.
func isIsolated(in Inputs) bool {
	if in.TableAge <= maxAge {
		return false
	}
	unreachable := 0
	for _, age := range in.PositionAges {
		if age > maxAge {
			unreachable++
		}
	}
	return unreachable*2 > len(in.PositionAges)
}
