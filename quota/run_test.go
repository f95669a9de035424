package quota

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	runSchedules = 400
	runLength    = 8 * time.Second
	runVMs       = 6
	runDelay     = 8 * time.Millisecond
	// idleTime is the length of the alternating busy and idle periods of the callers.
	idleTime = 700 * time.Millisecond
)

// quotaRun is one random schedule in virtual time: one holder at a time, token caches on several VMs, and an oracle.
type quotaRun struct {
	random    *rand.Rand
	limit     Limit
	now       time.Duration
	bucket    *Bucket
	caches    []*TokenCache
	events    []runEvent
	admitted  []time.Duration
	asked     int
	faults    map[string]int
	grant     func(*Bucket, time.Time, string, int) Grant
	newBucket func(Limit, time.Time) *Bucket
	spend     func(*TokenCache, time.Time) bool
}

type runEvent struct {
	at  time.Duration
	run func()
}

func at(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }

func newQuotaRun(seed uint64) *quotaRun {
	r := &quotaRun{
		random:    rand.New(rand.NewPCG(seed, 5)),
		faults:    map[string]int{},
		grant:     (*Bucket).Grant,
		newBucket: NewBucket,
		spend:     (*TokenCache).Take,
	}
	rate := 20 + 200*r.random.Float64()
	r.limit = Limit{Rate: rate, Burst: MinBurst(rate) + r.random.ExpFloat64()*60}
	for range runVMs {
		r.caches = append(r.caches, &TokenCache{})
	}
	return r
}

func (r *quotaRun) run() {
	r.bucket = r.newBucket(r.limit, at(0))
	for r.now < runLength {
		r.now += time.Duration(r.random.Int64N(int64(4 * time.Millisecond)))
		slices.SortStableFunc(r.events, func(a, b runEvent) int { return int(a.at - b.at) })
		for len(r.events) > 0 && r.events[0].at <= r.now {
			event := r.events[0]
			r.events = r.events[1:]
			event.run()
		}
		r.step()
	}
}

func (r *quotaRun) step() {
	cache := r.caches[r.random.IntN(len(r.caches))]
	idle := (r.now/idleTime)%2 == 1
	switch event := r.random.IntN(400); {
	case idle && event < 250:
	case event < 250:
		r.asked++
		if r.spend(cache, at(r.now)) {
			r.admitted = append(r.admitted, r.now)
		} else {
			r.request(cache, 1)
		}
	case event < 396:
		r.request(cache, 0)
	case event < 398:
		r.replaceHolder()
	default:
		r.faults["VM restart"]++
		*cache = TokenCache{}
	}
}

// request requests tokens from the holder; the answer can be lost or late.
func (r *quotaRun) request(cache *TokenCache, waiting int) {
	wanted := cache.Wanted(at(r.now), waiting)
	if r.random.IntN(8) == 0 {
		// A VM that expects high demand requests more than it can use.
		wanted += r.random.IntN(40)
	}
	if wanted == 0 {
		return
	}
	sentAt := r.now
	id, unspent := cache.TakeUnspent(at(r.now), 0)
	r.after(func() {
		r.bucket.Return(at(r.now), id, unspent)
		grant := r.grant(r.bucket, at(r.now), sentAt.String()+"/"+r.now.String(), wanted)
		if r.random.IntN(20) == 0 {
			r.faults["lost grant"]++
			return
		}
		r.after(func() {
			for range cache.Receive(at(r.now), at(sentAt), grant, waiting) {
				r.admitted = append(r.admitted, r.now)
			}
		})
	})
}

func (r *quotaRun) after(run func()) {
	delay := time.Duration(r.random.Int64N(int64(runDelay)))
	if r.random.IntN(50) == 0 {
		delay += time.Duration(r.random.Int64N(int64(time.Second)))
		r.faults["pause"]++
	}
	r.events = append(r.events, runEvent{at: r.now + delay, run: run})
}

func (r *quotaRun) replaceHolder() {
	r.faults["holder replaced"]++
	r.bucket = r.newBucket(r.limit, at(r.now))
}

// excess returns by how many admissions the worst window exceeds Burst + Rate·w.
//
// The oracle is a plain token bucket: the limit holds in every window if the admissions never overdraw a bucket that starts full.
func (r *quotaRun) excess() float64 {
	level, last, worst := r.limit.Burst, time.Duration(0), 0.0
	slices.Sort(r.admitted)
	for _, when := range r.admitted {
		level = min(r.limit.Burst, level+r.limit.Rate*(when-last).Seconds())
		level--
		last = when
		worst = max(worst, -level)
	}
	return worst
}

func TestRandomisedRunsStayWithinTheRate(t *testing.T) {
	asked, admitted := 0, 0
	faults := map[string]int{}
	for seed := range runSchedules {
		r := newQuotaRun(uint64(seed))
		r.run()
		const rounding = 1e-6
		require.LessOrEqual(t, r.excess(), rounding, "seed %d, limit %v", seed, r.limit)
		asked += r.asked
		admitted += len(r.admitted)
		for name, count := range r.faults {
			faults[name] += count
		}
	}
	t.Logf("%d schedules of %v, %d asked, %d admitted, faults: %v", runSchedules, runLength, asked, admitted, faults)
	require.Positive(t, admitted)
	for _, fault := range []string{"VM restart", "holder replaced", "lost grant", "pause"} {
		require.Positive(t, faults[fault], "the runs must contain the fault %q", fault)
	}
}

func TestRandomisedRunsFindBrokenRules(t *testing.T) {
	broken := map[string]func(*quotaRun){
		"a new holder starts with a full bucket": func(r *quotaRun) {
			r.newBucket = func(limit Limit, now time.Time) *Bucket {
				b := NewBucket(limit, now)
				b.level = limit.Capacity()
				return b
			}
		},
		"granted tokens never expire": func(r *quotaRun) {
			r.spend = func(cache *TokenCache, now time.Time) bool {
				for i := range cache.grants {
					cache.grants[i].expires = now.Add(time.Hour)
				}
				return cache.Take(now)
			}
		},
		"grants are not debited": func(r *quotaRun) {
			r.grant = func(b *Bucket, now time.Time, id string, wanted int) Grant {
				level := b.Level(now)
				grant := b.Grant(now, id, wanted)
				b.level = level
				return grant
			}
		},
	}
	for name, breakRule := range broken {
		t.Run(name, func(t *testing.T) {
			worst := 0.0
			for seed := range runSchedules {
				r := newQuotaRun(uint64(seed))
				breakRule(r)
				r.run()
				worst = max(worst, r.excess())
			}
			require.Greater(t, worst, 1.0, "the runs must find the broken rule")
		})
	}
}

// TestBucketAgreesWithAPlainTokenBucket compares a bucket whose grants have all expired with a plain token bucket.
func TestBucketAgreesWithAPlainTokenBucket(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	limit := Limit{Rate: 50, Burst: 40}
	bucket := NewBucket(limit, at(0))
	level, now := 0.0, time.Duration(0)
	for range 20_000 {
		gap := limit.TokenTTL() + time.Duration(1+random.Int64N(int64(time.Second)))
		now += gap
		level = min(limit.Capacity(), level+limit.Rate*gap.Seconds())
		wanted := random.IntN(60)
		naive := min(wanted, int(level))
		level -= float64(naive)
		require.InDelta(t, naive, bucket.Grant(at(now), "", wanted).Tokens, 1, "at %v", now)
		require.InDelta(t, level, bucket.level, 1e-3)
		level = bucket.level
	}
}
