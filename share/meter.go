package share

import (
	"math"
	"time"
)

// demandTimeConstant is the time constant of the demand; it spans several intervals at which the demand is told to other VMs.
const demandTimeConstant = 4 * time.Second

// meter is an exponentially weighted rate of events.
type meter struct {
	rate float64
	at   time.Time
}

func (m *meter) count(now time.Time) {
	m.rate = m.read(now) + 1/demandTimeConstant.Seconds()
	m.at = now
}

func (m *meter) read(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	return m.rate * math.Exp(-now.Sub(m.at).Seconds()/demandTimeConstant.Seconds())
}
