package share

import "time"

// bucket is a token bucket whose rate and size may change.
type bucket struct {
	tokens float64
	at     time.Time
}

// refill adds the tokens since the last call and cuts them to the size.
func (b *bucket) refill(now time.Time, rate, size float64) {
	if !b.at.IsZero() && now.After(b.at) {
		b.tokens += rate * now.Sub(b.at).Seconds()
	}
	b.tokens = min(b.tokens, size)
	b.at = now
}

// take spends a token, or returns how long the next one takes.
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
