package entry

import (
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// lagMaxAge is the age up to which an observed replication lag is used.
	lagMaxAge = 500 * time.Millisecond
	// failingDuration is the time for which an instance counts as failing after an error.
	failingDuration = 500 * time.Millisecond
)

// observation is what this VM last observed of one instance; observedLag is its replication lag at the time observedAt.
type observation struct {
	mark        model.Mark
	observedLag time.Duration
	observedAt  time.Time
	failedAt    time.Time
	inFlight    int
}

// observations holds the last observation of each instance. It is safe for concurrent use.
type observations struct {
	mu         sync.Mutex
	byInstance map[model.InstanceRef]observation
}

func newObservations() *observations {
	return &observations{byInstance: map[model.InstanceRef]observation{}}
}

func (o *observations) get(ref model.InstanceRef) observation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.byInstance[ref]
}

func (o *observations) update(ref model.InstanceRef, change func(*observation)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	current := o.byInstance[ref]
	change(&current)
	o.byInstance[ref] = current
}

func (o *observations) recordAnswer(ref model.InstanceRef, now time.Time, mark model.Mark, lag time.Duration) {
	o.update(ref, func(current *observation) {
		if current.mark.Before(mark) {
			current.mark = mark
		}
		current.observedLag, current.observedAt = lag, now
	})
}

func (o *observations) recordFailure(ref model.InstanceRef, now time.Time) {
	o.update(ref, func(current *observation) { current.failedAt = now })
}

func (o *observations) trackInFlight(ref model.InstanceRef) (end func()) {
	o.update(ref, func(current *observation) { current.inFlight++ })
	return func() { o.update(ref, func(current *observation) { current.inFlight-- }) }
}

func (o observation) isFailing(now time.Time) bool {
	return !o.failedAt.IsZero() && now.Sub(o.failedAt) < failingDuration
}

// lag returns the last observed replication lag. It returns 0 if the observation is older than lagMaxAge, so that a
// replica which has caught up is tried again.
func (o observation) lag(now time.Time) time.Duration {
	if now.Sub(o.observedAt) > lagMaxAge {
		return 0
	}
	return o.observedLag
}
