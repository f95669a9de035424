package queue

import (
	"math"
	"time"
)

const (
	// congestionFactor is the ratio of the mean latency to the lowest recent latency above which an instance counts as congested.
	congestionFactor = 4
	// minLatencyGrowth is the share by which the lowest recent latency rises again with each sample that is not lower.
	minLatencyGrowth = 0.001
	// decreaseFactor is the share of the limit that remains after a round of congested samples.
	decreaseFactor = 0.8
	// smoothing is the weight of one sample in the mean latency.
	smoothing = 0.1
	minLimit  = 1
	// pipelineShare bounds the requests beyond the slots, as a share of the slots that is rounded up to whole requests. These requests are on
	// their way to the instance, so that no slot waits for the network.
	pipelineShare = 0.3
)

// ConcurrencyLimit is an adaptive limit of the requests that run at once on an instance, between one and a little more than its slots. It
// rises slowly while latencies are normal, and falls by a factor while the instance is congested.
type ConcurrencyLimit struct {
	maxLimit         float64
	limit            float64
	minLatency       time.Duration
	meanLatency      time.Duration
	congestedSamples float64
}

// NewConcurrencyLimit returns a limit that starts at its maximum: all slots and the requests on their way to them.
func NewConcurrencyLimit(slots int) *ConcurrencyLimit {
	maxLimit := float64(slots) + math.Ceil(float64(slots)*pipelineShare)
	return &ConcurrencyLimit{maxLimit: maxLimit, limit: maxLimit}
}

// MeanLatency returns the smoothed mean latency of the requests that ran.
func (c *ConcurrencyLimit) MeanLatency() time.Duration { return c.meanLatency }

// Observe records the latency of one request that ran.
func (c *ConcurrencyLimit) Observe(latency time.Duration) {
	if c.minLatency == 0 || latency < c.minLatency {
		c.minLatency = latency
	} else {
		c.minLatency += time.Duration(float64(c.minLatency) * minLatencyGrowth)
	}
	if c.meanLatency == 0 {
		c.meanLatency = latency
	}
	c.meanLatency += time.Duration(float64(latency-c.meanLatency) * smoothing)
	c.adapt()
}

func (c *ConcurrencyLimit) adapt() {
	if c.meanLatency <= congestionFactor*c.minLatency {
		c.limit = min(c.maxLimit, c.limit+1/c.limit)
		c.congestedSamples = 0
		return
	}
	c.congestedSamples++
	if c.congestedSamples >= c.limit {
		c.limit = max(minLimit, c.limit*decreaseFactor)
		c.congestedSamples = 0
	}
}

// Limit returns how many requests may run at once.
func (c *ConcurrencyLimit) Limit() int {
	return max(minLimit, int(c.limit))
}
