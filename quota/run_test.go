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
	// quietTime is how long callers rest between crowds.
	quietTime = 700 * time.Millisecond
)

// quotaRun is one schedule in virtual time: one holder at a time, purses on several VMs, and an oracle.
type quotaRun struct {
	random   *rand.Rand
	limit    Limit
	now      time.Duration
	bucket   *Bucket
	purses   []*TokenCache
	events   []runEvent
	admitted []time.Duration
	asked    int
	faults   map[string]int
	mint     func(*Bucket, time.Time, string, int) Grant
	newOne   func(Limit, time.Time) *Bucket
	spend    func(*TokenCache, time.Time) bool
}

type runEvent struct {
	at  time.Duration
	run func()
}

func at(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }

func newQuotaRun(seed uint64) *quotaRun {
	r := &quotaRun{
		random: rand.New(rand.NewPCG(seed, 5)),
		faults: map[string]int{},
		mint:   (*Bucket).Grant,
		newOne: NewBucket,
		spend:  (*TokenCache).Take,
	}
	rate := 20 + 200*r.random.Float64()
	r.limit = Limit{Rate: rate, Burst: MinBurst(rate) + r.random.ExpFloat64()*60}
	for range runVMs {
		r.purses = append(r.purses, &TokenCache{})
	}
	return r
}

func (r *quotaRun) run() {
	r.bucket = r.newOne(r.limit, at(0))
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
	purse := r.purses[r.random.IntN(len(r.purses))]
	quiet := (r.now/quietTime)%2 == 1
	switch event := r.random.IntN(400); {
	case quiet && event < 250:
	case event < 250:
		r.asked++
		if r.spend(purse, at(r.now)) {
			r.admitted = append(r.admitted, r.now)
		} else {
			r.ask(purse, 1)
		}
	case event < 396:
		r.ask(purse, 0)
	case event < 398:
		r.replaceHolder()
	default:
		r.faults["VM death"]++
		*purse = TokenCache{}
	}
}

// ask asks the holder for tokens; the answer can be lost or late.
func (r *quotaRun) ask(purse *TokenCache, waiting int) {
	wanted := purse.Wanted(at(r.now), waiting)
	if r.random.IntN(8) == 0 {
		// A VM that expects a crowd asks for more than it can use.
		wanted += r.random.IntN(40)
	}
	if wanted == 0 {
		return
	}
	sentAt := r.now
	id, unspent := purse.TakeUnspent(at(r.now), 0)
	r.after(func() {
		r.bucket.Return(at(r.now), id, unspent)
		grant := r.mint(r.bucket, at(r.now), sentAt.String()+"/"+r.now.String(), wanted)
		if r.random.IntN(20) == 0 {
			r.faults["lost grant"]++
			return
		}
		r.after(func() {
			for range purse.Receive(at(r.now), at(sentAt), grant, waiting) {
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
	r.bucket = r.newOne(r.limit, at(r.now))
}

// over returns how many admissions exceed Burst + Rate·w in the worst window.
//
// The oracle is the plain token bucket: admissions are within every window if a full bucket never runs empty under them.
func (r *quotaRun) over() float64 {
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
		require.LessOrEqual(t, r.over(), rounding, "seed %d, limit %v", seed, r.limit)
		asked += r.asked
		admitted += len(r.admitted)
		for name, count := range r.faults {
			faults[name] += count
		}
	}
	t.Logf("%d schedules of %v, %d asked, %d admitted, faults: %v", runSchedules, runLength, asked, admitted, faults)
	require.Positive(t, admitted)
	for _, fault := range []string{"VM death", "holder replaced", "lost grant", "pause"} {
		require.Positive(t, faults[fault], "the runs must contain the fault %q", fault)
	}
}

func TestRandomisedRunsFindBrokenRules(t *testing.T) {
	broken := map[string]func(*quotaRun){
		"a new holder starts full": func(r *quotaRun) {
			r.newOne = func(limit Limit, now time.Time) *Bucket {
				b := NewBucket(limit, now)
				b.level = limit.Capacity()
				return b
			}
		},
		"granted tokens never expire": func(r *quotaRun) {
			r.spend = func(p *TokenCache, now time.Time) bool {
				for i := range p.grants {
					p.grants[i].expires = now.Add(time.Hour)
				}
				return p.Take(now)
			}
		},
		"grants are not debited": func(r *quotaRun) {
			r.mint = func(b *Bucket, now time.Time, id string, wanted int) Grant {
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
				worst = max(worst, r.over())
			}
			require.Greater(t, worst, 1.0, "the runs must find the broken rule")
		})
	}
}

// TestBucketAgreesWithTheNaiveOne compares a bucket whose grants have all expired with the textbook one.
func TestBucketAgreesWithTheNaiveOne(t *testing.T) {
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
