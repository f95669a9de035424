package share

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
)

// window is the span in which the rule of the users counts.
const window = 5 * time.Second

// allowed is the most operations of a team in a window, as the users' rule states it.
func allowed(team policy.Team, slack float64) int {
	return int((team.Rate*window.Seconds()+team.Burst)*1.1 + slack)
}

// simulated are the limiters that admit for a team, one a failure domain, which tell each other their demand each second.
type simulated struct {
	limiters []*Limiter
	cut      map[int]bool
	random   *rand.Rand
}

func newSimulated(now time.Time, domains int, slack float64, team policy.Team) *simulated {
	find := func(model.TeamName) (policy.Team, bool) { return team, true }
	f := &simulated{cut: map[int]bool{}, random: rand.New(rand.NewPCG(7, 7))}
	for range domains {
		f.limiters = append(f.limiters, New(now, Config{Weight: func() float64 { return Weight(domains) }, Slack: slack, Team: find}))
	}
	return f
}

// reaches tells whether a datagram arrives.
func (f *simulated) reaches(from, to int) bool {
	return from != to && f.cut[from] == f.cut[to] && f.random.Float64() >= lostDatagrams
}

func (f *simulated) tell(now time.Time) {
	for i, from := range f.limiters {
		report := from.Report(now, model.VMID(fmt.Sprint(i)))
		for j, to := range f.limiters {
			if f.reaches(i, j) {
				to.RecordReport(now, report)
			}
		}
	}
}

// lend lets each VM that is low on tokens ask all others.
func (f *simulated) lend(now time.Time) {
	for i, from := range f.limiters {
		for _, ask := range from.TokenRequests(now, model.VMID(fmt.Sprint(i))) {
			ask.Tokens = max(1, math.Floor(ask.Tokens/float64(len(f.limiters)-1)))
			for j, to := range f.limiters {
				if !f.reaches(i, j) {
					continue
				}
				if loan := to.GrantTokens(now, model.VMID(fmt.Sprint(j)), ask, time.Time{}); f.reaches(j, i) {
					from.AddTokens(now, loan)
				}
			}
		}
	}
}

const (
	// lostDatagrams is the share of the datagrams that are lost on their way.
	lostDatagrams = 0.02
	lendEvery     = 50 * time.Millisecond
)

// most returns the most admissions in any window.
func most(admitted []time.Time) int {
	best, from := 0, 0
	for to := range admitted {
		for admitted[to].Sub(admitted[from]) > window {
			from++
		}
		best = max(best, to-from+1)
	}
	return best
}

// play sends operations at a rate that changes over time, to failure domains by uneven weights, and returns who was admitted and refused.
func play(f *simulated, team policy.Team, seed uint64, seconds int, demand func(at time.Duration) float64, event func(at time.Duration)) (admitted []time.Time, refused int) {
	random := rand.New(rand.NewPCG(seed, 1))
	weights := make([]float64, len(f.limiters))
	total := 0.0
	for i := range weights {
		weights[i] = 0.2 + random.ExpFloat64()
		total += weights[i]
	}
	start := time.Unix(0, 0)
	const step = 5 * time.Millisecond
	for at := time.Duration(0); at < time.Duration(seconds)*time.Second; at += step {
		now := start.Add(10*time.Second + at)
		if at%time.Second == 0 {
			f.tell(now)
		}
		if at%lendEvery == 0 {
			f.lend(now)
		}
		if event != nil {
			event(at)
		}
		for i, l := range f.limiters {
			expected := demand(at) * step.Seconds() * weights[i] / total
			for ; expected > random.Float64(); expected-- {
				if l.Admit(now, team, time.Time{}).Admitted {
					admitted = append(admitted, now)
				} else {
					refused++
				}
			}
		}
	}
	return admitted, refused
}

func TestHotTeamStaysWithinItsRateFromTheFirstWindow(t *testing.T) {
	// The load that broke the rule on a day of ladica-split: one team sends several times its usual from one moment on.
	for _, domains := range []int{2, 3, 4, 6} {
		for seed := range uint64(20) {
			rate := []float64{200, 26, 7}[seed%3]
			team := policy.Team{Name: "hot", Rate: rate, Burst: rate}
			f := newSimulated(time.Unix(0, 0), domains, 20, team)
			admitted, _ := play(f, team, seed, 25, func(at time.Duration) float64 {
				if at > 8*time.Second && at < 16*time.Second {
					return 6 * team.Rate
				}
				return 0.7 * team.Rate
			}, nil)
			require.LessOrEqual(t, most(admitted), allowed(team, 20), "failure domains %d seed %d", domains, seed)
		}
	}
}

// TestRestartOfAllVMsServesUnevenDomainsAtOnce plays the load after a loss of power: one failure domain gets most callers, and
// nobody knows any demand.
func TestRestartOfAllVMsServesUnevenDomainsAtOnce(t *testing.T) {
	shares := []float64{0.5, 0.3, 0.2}
	team := policy.Team{Name: "team", Rate: 60, Burst: 60}
	refused, admitted := 0, 0
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 3))
		start := time.Unix(0, 0)
		f := newSimulated(start, len(shares), 20, team)
		const step = 5 * time.Millisecond
		for at := 500 * time.Millisecond; at < 4*time.Second; at += step {
			now := start.Add(at)
			if at%time.Second == 0 {
				f.tell(now)
			}
			if at%lendEvery == 0 {
				f.lend(now)
			}
			for i, l := range f.limiters {
				if 0.7*team.Rate*step.Seconds()*shares[i] <= random.Float64() {
					continue
				}
				if l.Admit(now, team, time.Time{}).Admitted {
					admitted++
				} else {
					refused++
				}
			}
		}
	}
	t.Logf("refused %d of %d", refused, admitted+refused)
	require.LessOrEqual(t, float64(refused), 0.02*float64(admitted+refused))
}

func TestSplitPartsAddUpToTheRate(t *testing.T) {
	demands := []float64{40, 3, 0.5, 12, 9}
	sum := 0.0
	for _, d := range demands {
		sum += d
	}
	for _, rate := range []float64{20, 64.5, 300} {
		total := 0.0
		for _, d := range demands {
			total += Split(rate, d, sum-d, 1/float64(len(demands)))
		}
		require.InDelta(t, rate, total, 0.01)
	}
}

func TestCutFailureDomainKeepsItsPartAndNoMore(t *testing.T) {
	team := policy.Team{Name: "team", Rate: 60, Burst: 60}
	for seed := range uint64(10) {
		f := newSimulated(time.Unix(0, 0), 3, 20, team)
		admitted, _ := play(f, team, seed, 30, func(at time.Duration) float64 {
			if at > 10*time.Second {
				return 4 * team.Rate
			}
			return 0.8 * team.Rate
		}, func(at time.Duration) {
			for i := range f.limiters {
				f.cut[i] = i == 0 && at > 12*time.Second && at < 20*time.Second
			}
		})
		require.LessOrEqual(t, most(admitted), allowed(team, 20), "seed %d", seed)
	}
}

func TestUsualDemandIsSeldomRefused(t *testing.T) {
	team := policy.Team{Name: "team", Rate: 60, Burst: 60}
	admittedAll, refusedAll := 0, 0
	for seed := range uint64(10) {
		f := newSimulated(time.Unix(0, 0), 3, 20, team)
		admitted, refused := play(f, team, seed, 40, func(time.Duration) float64 { return 0.7 * team.Rate }, nil)
		admittedAll += len(admitted)
		refusedAll += refused
	}
	t.Logf("refused %d of %d", refusedAll, admittedAll+refusedAll)
	require.LessOrEqual(t, float64(refusedAll), 0.001*float64(admittedAll+refusedAll))
}

func TestRestartOfAllVMsGrantsNoSecondBurst(t *testing.T) {
	team := policy.Team{Name: "team", Rate: 26, Burst: 26}
	hot := func(time.Duration) float64 { return 5 * team.Rate }
	first := newSimulated(time.Unix(0, 0), 3, 20, team)
	before, _ := play(first, team, 1, 10, hot, nil)
	end := before[len(before)-1]
	second := newSimulated(end, 3, 20, team)
	after, _ := play(second, team, 2, 10, hot, nil)
	for i := range after {
		// play starts ten seconds after the epoch; the second fleet starts where the first ended.
		after[i] = end.Add(after[i].Sub(time.Unix(10, 0)) + time.Second)
	}
	require.LessOrEqual(t, most(append(before, after...)), allowed(team, 20))
}
