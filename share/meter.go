package share

import (
	"math"
	"time"
)

// demandTimeConstant is the time constant of the demand; it spans several intervals between reports to other VMs.
const demandTimeConstant = 4 * time.Second

// meter is an exponentially weighted rate of events, in events per second.
type meter struct {
	rate      float64
	countedAt time.Time
}

func (m *meter) count(now time.Time) {
	m.rate = m.read(now) + 1/demandTimeConstant.Seconds()
	m.countedAt = now
}

func (m *meter) read(now time.Time) float64 {
	if m.countedAt.IsZero() {
		return 0
	}
	return m.rate * math.Exp(-now.Sub(m.countedAt).Seconds()/demandTimeConstant.Seconds())
}
