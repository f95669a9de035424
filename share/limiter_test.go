package share

import (
	"fmt"
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

// fleet is a number of limiters that tell each other their demand as the VMs do: near ones each second, far ones each other second.
type simulated struct {
	limiters []*Limiter
	domains  int
	cut      map[int]bool
}

func newSimulated(now time.Time, vms, domains int, slack float64, team policy.Team) *simulated {
	find := func(model.TeamName) (policy.Team, bool) { return team, true }
	f := &simulated{domains: domains, cut: map[int]bool{}}
	for range vms {
		f.limiters = append(f.limiters, New(now, Config{Weight: func() float64 { return Weight(1, vms) }, Slack: slack, Team: find}))
	}
	return f
}

func (f *simulated) tell(now time.Time, round int) {
	for i, from := range f.limiters {
		report := from.Report(now, model.VMID(fmt.Sprint(i)))
		for j, to := range f.limiters {
			near := i%f.domains == j%f.domains
			if i == j || f.cut[i] != f.cut[j] || (!near && (round+i)%2 != 0) {
				continue
			}
			to.Hear(now, report)
		}
	}
}

// lend lets each VM that is low on tokens ask two others.
func (f *simulated) lend(now time.Time, random *rand.Rand) {
	for i, from := range f.limiters {
		for _, ask := range from.Wants(now, model.VMID(fmt.Sprint(i))) {
			for range askedPeers {
				j := random.IntN(len(f.limiters))
				if j == i || f.cut[i] != f.cut[j] {
					continue
				}
				loan := f.limiters[j].Lend(now, model.VMID(fmt.Sprint(j)), ask)
				if random.Float64() > lostDatagrams {
					from.Receive(now, loan)
				}
				ask.Tokens -= loan.Tokens
			}
		}
	}
}

const (
	askedPeers = 2
	// lostDatagrams is the share of the loans that are lost on their way.
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

// play sends operations at a rate that changes over time, to VMs by uneven weights, and returns who was admitted and refused.
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
			f.tell(now, int(at/time.Second))
		}
		if at%lendEvery == 0 {
			f.lend(now, random)
		}
		if event != nil {
			event(at)
		}
		for i, l := range f.limiters {
			expected := demand(at) * step.Seconds() * weights[i] / total
			for ; expected > random.Float64(); expected-- {
				if l.Admit(now, team).Admitted {
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
	for _, vms := range []int{13, 21} {
		for seed := range uint64(20) {
			team := policy.Team{Name: "hot", Rate: 26, Burst: 26}
			if seed%2 == 0 {
				team.Rate, team.Burst = 200, 200
			}
			f := newSimulated(time.Unix(0, 0), vms, 3, 20, team)
			admitted, _ := play(f, team, seed, 25, func(at time.Duration) float64 {
				if at > 8*time.Second && at < 16*time.Second {
					return 6 * team.Rate
				}
				return 0.7 * team.Rate
			}, nil)
			require.LessOrEqual(t, most(admitted), allowed(team, 20), "vms %d seed %d", vms, seed)
		}
	}
}

// TestRestartOfAllVMsServesUnevenDomainsAtOnce plays the load after a loss of power: two VMs of a small failure domain get as many
// callers as seven of another, and nobody knows any demand.
func TestRestartOfAllVMsServesUnevenDomainsAtOnce(t *testing.T) {
	sizes := []int{7, 4, 2}
	team := policy.Team{Name: "team", Rate: 60, Burst: 60}
	refused, admitted := 0, 0
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 3))
		start := time.Unix(0, 0)
		f := &simulated{domains: 1, cut: map[int]bool{}}
		var shares []float64
		for _, size := range sizes {
			for range size {
				weight := Weight(len(sizes), size)
				f.limiters = append(f.limiters, New(start, Config{
					Weight: func() float64 { return weight }, Slack: 20,
					Team: func(model.TeamName) (policy.Team, bool) { return team, true },
				}))
				shares = append(shares, weight)
			}
		}
		const step = 5 * time.Millisecond
		for at := 500 * time.Millisecond; at < 4*time.Second; at += step {
			now := start.Add(at)
			if at%time.Second == 0 {
				f.tell(now, 0)
			}
			if at%lendEvery == 0 {
				f.lend(now, random)
			}
			for i, l := range f.limiters {
				if 0.7*team.Rate*step.Seconds()*shares[i] <= random.Float64() {
					continue
				}
				if l.Admit(now, team).Admitted {
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
		f := newSimulated(time.Unix(0, 0), 13, 3, 20, team)
		admitted, _ := play(f, team, seed, 30, func(at time.Duration) float64 {
			if at > 10*time.Second {
				return 4 * team.Rate
			}
			return 0.8 * team.Rate
		}, func(at time.Duration) {
			for i := range f.limiters {
				f.cut[i] = i%3 == 0 && at > 12*time.Second && at < 20*time.Second
			}
		})
		require.LessOrEqual(t, most(admitted), allowed(team, 20), "seed %d", seed)
	}
}

func TestUsualDemandIsSeldomRefused(t *testing.T) {
	team := policy.Team{Name: "team", Rate: 60, Burst: 60}
	admittedAll, refusedAll := 0, 0
	for seed := range uint64(10) {
		f := newSimulated(time.Unix(0, 0), 13, 3, 20, team)
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
	first := newSimulated(time.Unix(0, 0), 13, 3, 20, team)
	before, _ := play(first, team, 1, 10, hot, nil)
	end := before[len(before)-1]
	second := newSimulated(end, 13, 3, 20, team)
	after, _ := play(second, team, 2, 10, hot, nil)
	for i := range after {
		// play starts ten seconds after the epoch; the second fleet starts where the first ended.
		after[i] = end.Add(after[i].Sub(time.Unix(10, 0)) + time.Second)
	}
	require.LessOrEqual(t, most(append(before, after...)), allowed(team, 20))
}
