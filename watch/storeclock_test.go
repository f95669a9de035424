package watch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestObservedInstantIsNeverAfterTheAnswer simulates long polls with random delays and a drifting store clock.
func TestObservedInstantIsNeverAfterTheAnswer(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 7))
		drift := 1 + (random.Float64()-0.5)*0.002
		var c storeClock
		now := time.Unix(0, 0)
		for range 200 {
			sentAt := now
			answeredAt := sentAt.Add(time.Duration(random.Float64() * float64(1200*time.Millisecond)))
			storeTime := time.Duration(float64(answeredAt.Sub(time.Unix(0, 0)))*drift) + time.Hour
			at := c.observe(sentAt, storeTime.Truncate(time.Millisecond))
			require.False(t, at.After(answeredAt), "seed %d", seed)
			require.False(t, at.Before(sentAt), "seed %d", seed)
			now = answeredAt.Add(time.Duration(random.Float64() * float64(300*time.Millisecond)))
		}
	}
}

func TestObservedInstantIsCloseToTheAnswerOfALongPoll(t *testing.T) {
	var c storeClock
	start := time.Unix(0, 0)
	c.observe(start, time.Hour)
	at := c.observe(start.Add(10*time.Millisecond), time.Hour+1200*time.Millisecond)
	require.Greater(t, at.Sub(start), 1180*time.Millisecond)
}

func TestStoreClockThatWentBackIsReplaced(t *testing.T) {
	var c storeClock
	c.observe(time.Unix(100, 0), time.Hour)
	require.Equal(t, time.Unix(101, 0), c.observe(time.Unix(101, 0), time.Minute))
}
