package wait

import "time"

const (
	// workFactor is the time that a request must have left when it starts, as a multiple of what its work usually takes. One that is cut off by its
	// deadline has used a slot for nothing, and a write then has an unknown outcome.
	workFactor = 2
	// minRetryAfter is the shortest retry time; a caller that returns sooner finds nothing changed.
	minRetryAfter = 10 * time.Millisecond
	// spreadShare is the share of a retry time over which the returns of callers are spread.
	spreadShare = 0.5
)

type (
	// Request is what a request has left.
	Request struct {
		// Deadline is when the caller's time ends.
		Deadline time.Time
		// Work is how long the request usually takes once it lacks nothing; it is 0 if unknown.
		Work time.Duration
	}

	// Forecast tells when something that is missing is available again.
	Forecast struct {
		// Earliest is when it is at the earliest in most cases, and Expected when it usually is.
		Earliest, Expected time.Time
	}

	// Decision tells whether a request waits.
	Decision struct {
		// Wait reports that what the request lacks may come in time; otherwise the request is to be refused now.
		Wait bool
		// Until is the last instant at which the request can start in time.
		Until time.Time
		// RetryAfter is the time after which a caller that is refused now may return.
		RetryAfter time.Duration
	}
)

// LatestStart returns the last instant at which a request can start and usually end by its deadline.
func (r Request) LatestStart() time.Time { return r.Deadline.Add(-workFactor * r.Work) }

// MaxWork returns the longest work that a request with a timeout is taken to need. With it, half of the timeout is left to wait, however long the
// last requests took; otherwise none would be tried that could show that they are faster again.
func MaxWork(timeout time.Duration) time.Duration { return timeout / (2 * workFactor) }

// At returns the forecast of something that is expected at an instant and not before.
func At(instant time.Time) Forecast { return Forecast{Earliest: instant, Expected: instant} }

// Decide decides whether a request waits for something that it lacks. The decision has to be made again when the forecast or the usual
// duration of the work changes, and at Until.
func Decide(now time.Time, forecast Forecast, r Request) Decision {
	latest := r.LatestStart()
	return Decision{
		Wait:       now.Before(latest) && !forecast.Earliest.After(latest),
		Until:      latest,
		RetryAfter: max(forecast.Expected.Sub(now), minRetryAfter),
	}
}

// Spread lengthens a retry time by a random part of it, so that callers who are refused together do not return together; random is in [0, 1).
func Spread(retryAfter time.Duration, random float64) time.Duration {
	retryAfter = max(retryAfter, minRetryAfter)
	return retryAfter + time.Duration(spreadShare*random*float64(retryAfter))
}
