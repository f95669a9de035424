package queue

import (
	"math"
	"time"
)

const (
	// congestionFactor over the fastest recent latency counts as congestion.
	congestionFactor = 4
	// minLatencyGrowth lets the remembered fastest latency rise again, as a share a sample.
	minLatencyGrowth = 0.001
	// decreaseFactor is what one congested round leaves of the width.
	decreaseFactor = 0.8
	// smoothing is the weight of one sample in the mean latency.
	smoothing = 0.1
	minLimit  = 1
	// pipelineShare of the slots, and at least one more request, are in flight to hide the way to the instance.
	pipelineShare = 0.3
)

// ConcurrencyLimit adapts how many requests run at once on an instance, between one and a little more than its slots.
type ConcurrencyLimit struct {
	maxLimit         float64
	limit            float64
	minLatency       time.Duration
	meanLatency      time.Duration
	congestedSamples float64
}

// NewConcurrencyLimit returns a width that starts at all slots and what is on its way to them.
func NewConcurrencyLimit(slots int) *ConcurrencyLimit {
	most := float64(slots) + math.Ceil(float64(slots)*pipelineShare)
	return &ConcurrencyLimit{maxLimit: most, limit: most}
}

// MeanLatency returns the mean latency of the requests that ran lately.
func (w *ConcurrencyLimit) MeanLatency() time.Duration { return w.meanLatency }

// Observe takes the latency of one request that ran.
func (w *ConcurrencyLimit) Observe(latency time.Duration) {
	if w.minLatency == 0 || latency < w.minLatency {
		w.minLatency = latency
	} else {
		w.minLatency += time.Duration(float64(w.minLatency) * minLatencyGrowth)
	}
	if w.meanLatency == 0 {
		w.meanLatency = latency
	}
	w.meanLatency += time.Duration(float64(latency-w.meanLatency) * smoothing)
	w.adapt()
}

func (w *ConcurrencyLimit) adapt() {
	if w.meanLatency <= congestionFactor*w.minLatency {
		w.limit = min(w.maxLimit, w.limit+1/w.limit)
		w.congestedSamples = 0
		return
	}
	w.congestedSamples++
	if w.congestedSamples >= w.limit {
		w.limit = max(minLimit, w.limit*decreaseFactor)
		w.congestedSamples = 0
	}
}

// Limit returns how many requests may run at once.
func (w *ConcurrencyLimit) Limit() int {
	return max(minLimit, int(w.limit))
}
