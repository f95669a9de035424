package window

import (
	"math"
	"time"
)

const (
	// pipelineShare bounds the statements beyond the slots, as a share of the slots that is rounded up. They are on their way to the instance,
	// so that no slot waits for the network.
	pipelineShare = 0.3
	// minLimit is the smallest window; with it, a VM still observes how the instance answers.
	minLimit = 1
	// smoothing is the weight of one answer in the slowness.
	smoothing = 0.15
	// congestedSlowness is the slowness above which the window shrinks: statements wait for longer than they run.
	congestedSlowness = 2.2
	// clearSlowness is the slowness below which the window grows.
	clearSlowness = 1.6
	// decreaseFactor is the part of the window that remains after a round of answers while the instance is congested, or after it had no slot.
	decreaseFactor = 0.75
	// maxRatio bounds the effect of one answer on the slowness.
	maxRatio = 6
	// restartFailures is the number of failures in a row after which an instance is assumed to have restarted. A single lost answer does
	// not show a restart.
	restartFailures = 2
)

// Window limits the statements that a VM runs at one instance at once. It is not safe for concurrent use.
//
// It addresses three load patterns: a burst that fills the queue of the instance, which serves in order of arrival; many VMs that share few slots;
// and an instance that was started, has recovered or was promoted, and would get the statements that have waited all at once.
type Window struct {
	maxLimit, limit float64
	// starting is set while the window doubles with each round of answers.
	starting bool
	// slowness is the smoothed ratio of the time that an answer took to the usual one.
	slowness float64
	// answers counts the answers since the window last shrank.
	answers float64
	// failures counts the failures since the last answer.
	failures int
}

// New returns a window that is fully open.
func New(slots int) *Window {
	maxLimit := max(minLimit, float64(slots)+math.Ceil(float64(slots)*pipelineShare))
	return &Window{maxLimit: maxLimit, limit: maxLimit, slowness: 1}
}

// Limit returns how many statements may run at once.
func (w *Window) Limit() int { return max(minLimit, int(w.limit)) }

// Starting reports whether the window still grows after a restart of the instance.
func (w *Window) Starting() bool { return w.starting }

// Restart closes the window to one statement because the instance was started or promoted or has recovered.
func (w *Window) Restart() {
	w.limit, w.starting, w.slowness, w.answers, w.failures = minLimit, true, 1, 0, 0
}

// Answered records an answer; took is how long it took, and usual how long such a statement takes without a queue, or 0 if unknown.
func (w *Window) Answered(took, usual time.Duration) {
	w.failures = 0
	w.answers++
	ratio := 1.0
	if usual > 0 {
		ratio = min(maxRatio, float64(took)/float64(usual))
	}
	w.slowness += smoothing * (ratio - w.slowness)
	switch {
	case w.slowness >= congestedSlowness:
		w.shrink()
	case w.starting && ratio >= clearSlowness:
		w.starting = false // The mean follows the queue too late: the window would double several times more.
	case w.starting:
		w.grow(1)
	case w.slowness < clearSlowness:
		w.grow(1 / w.limit)
	}
}

// Full records that the instance had no slot.
func (w *Window) Full() {
	w.failures = 0
	w.answers++
	w.shrink()
}

// Failed records that the instance could not be reached or did not answer.
func (w *Window) Failed() {
	w.failures++
	if w.failures >= restartFailures {
		failures := w.failures
		w.Restart()
		w.failures = failures
	}
}

// shrink shrinks the window at most once in a round of answers, since answers to statements that were sent before do not show the effect of the smaller window.
func (w *Window) shrink() {
	if w.answers < w.limit {
		return
	}
	w.limit = max(minLimit, w.limit*decreaseFactor)
	w.answers, w.starting = 0, false
}

func (w *Window) grow(by float64) {
	w.limit = min(w.maxLimit, w.limit+by)
	if w.limit == w.maxLimit {
		w.starting = false
	}
}
