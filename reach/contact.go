package reach

import "time"

const (
	// RoundInterval is the interval between two rounds of probes.
	RoundInterval = 100 * time.Millisecond
	// maxRoundTime is the longest duration of a round that ran on time. A VM that was stopped or got no processor time learns of the time before
	// it reads the answers that have arrived meanwhile.
	maxRoundTime = 150 * time.Millisecond
	// lostRounds is the number of consecutive rounds without an answer after which the reader finds its failure domain cut off.
	lostRounds = 4
	// checkRounds is the number of consecutive rounds without an answer with which another VM confirms that.
	checkRounds = 2
	// maxStoreSilence is how long the store may be silent before a failure domain is taken for cut off. A long poll of the reader is held back for
	// half a second.
	maxStoreSilence = 600 * time.Millisecond
)

// Contact is the newest evidence that VMs, instances or the store outside the failure domain of a VM answer it.
type Contact struct {
	// AnsweredAt is when a VM of another failure domain last answered a probe, or an instance there last answered anything.
	AnsweredAt time.Time
	// StoreAt is when the store last answered this VM, or last confirmed the cached table through any VM.
	StoreAt time.Time
}

// since reports whether anything outside the failure domain answered at or after an instant.
func (c Contact) since(at time.Time) bool {
	return !c.AnsweredAt.Before(at) || !c.StoreAt.Before(at)
}

// storeSilent reports whether the store has been silent for so long that it may be unreachable.
func (c Contact) storeSilent(now time.Time) bool { return now.Sub(c.StoreAt) >= maxStoreSilence }
