package bench

import (
	"slices"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/quota"
)

// admissions records when the entries admitted requests, by bucket; it is safe for concurrent use.
type admissions struct {
	mu    sync.Mutex
	times map[string][]time.Time
}

func newAdmissions() *admissions {
	return &admissions{times: map[string][]time.Time{}}
}

func (a *admissions) add(bucket string, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times[bucket] = append(a.times[bucket], at)
}

// maxOverRate returns the number of requests admitted in excess of the limit in the worst time window, as a share of the number that the
// limit allows in this window. The limit was kept if the result is at most 0.
func (a *admissions) maxOverRate(bucket string, limit quota.Limit) float64 {
	a.mu.Lock()
	times := slices.Clone(a.times[bucket])
	a.mu.Unlock()
	slices.SortFunc(times, time.Time.Compare)
	worst := -1.0
	for i, first := range times {
		for j := i; j < len(times); j++ {
			allowed := limit.Burst + limit.Rate*times[j].Sub(first).Seconds()
			worst = max(worst, float64(j-i+1)/allowed-1)
		}
	}
	return worst
}

func (a *admissions) count(bucket string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.times[bucket])
}
