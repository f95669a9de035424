package share

import "time"

// bucket is a token bucket whose rate and size may change.
type bucket struct {
	tokens   float64
	filledAt time.Time
}

// refill adds the tokens since the last call and caps them at the size; rate is in tokens per second.
func (b *bucket) refill(now time.Time, rate, size float64) {
	if !b.filledAt.IsZero() && now.After(b.filledAt) {
		b.tokens += rate * now.Sub(b.filledAt).Seconds()
	}
	b.tokens = min(b.tokens, size)
	b.filledAt = now
}

// skipTo lets the bucket not fill before an instant.
func (b *bucket) skipTo(fillFrom time.Time) {
	if b.filledAt.Before(fillFrom) {
		b.filledAt = fillFrom
	}
}

// take spends a token, or returns the time until the next one. If the rate is not positive, it returns one second.
func (b *bucket) take(rate float64) (time.Duration, bool) {
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	if rate <= 0 {
		return time.Second, false
	}
	return time.Duration((1 - b.tokens) / rate * float64(time.Second)), false
}
