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

// window is the time span for which the users' rule limits the operations.
const window = 5 * time.Second

// allowed returns the most operations of a team that the users' rule permits in a window.
func allowed(team policy.Team, slack float64) int {
	return int((team.Rate*window.Seconds()+team.Burst)*1.1 + slack)
}

// simulation holds the limiters that admit for a team, one in each failure domain, which exchange reports every second.
type simulation struct {
	limiters    []*Limiter
	partitioned map[int]bool
	// unreported holds the limiters that get no reports.
	unreported map[int]bool
	random     *rand.Rand
}

func newSimulation(now time.Time, domains int, slack float64, team policy.Team) *simulation {
	find := func(model.TeamName) (policy.Team, bool) { return team, true }
	f := &simulation{partitioned: map[int]bool{}, random: rand.New(rand.NewPCG(7, 7))}
	for range domains {
		f.limiters = append(f.limiters, New(now, Config{Weight: func() float64 { return Weight(domains) }, Slack: slack, Team: find}))
	}
	return f
}

// replaceLimiter lets a new VM admit for a failure domain, to which the others do not report.
func (f *simulation) replaceLimiter(i int, now time.Time, team policy.Team) {
	domains := len(f.limiters)
	find := func(model.TeamName) (policy.Team, bool) { return team, true }
	f.limiters[i] = New(now, Config{Weight: func() float64 { return Weight(domains) }, Slack: 20, Team: find})
	f.unreported = map[int]bool{i: true}
}

// reaches reports whether a datagram arrives.
func (f *simulation) reaches(from, to int) bool {
	return from != to && f.partitioned[from] == f.partitioned[to] && f.random.Float64() >= lostDatagrams
}

func (f *simulation) exchangeReports(now time.Time) {
	for i, from := range f.limiters {
		report := from.Report(now, model.VMID(fmt.Sprint(i)))
		for j, to := range f.limiters {
			if f.reaches(i, j) && !f.unreported[j] {
				to.RecordReport(now, report)
			}
		}
	}
}

// exchangeTokens lets each VM that is low on tokens request some from all others.
func (f *simulation) exchangeTokens(now time.Time) {
	for i, from := range f.limiters {
		for _, request := range from.TokenRequests(now, model.VMID(fmt.Sprint(i))) {
			request.Tokens = max(1, math.Floor(request.Tokens/float64(len(f.limiters)-1)))
			for j, to := range f.limiters {
				if !f.reaches(i, j) {
					continue
				}
				if grant := to.GrantTokens(now, model.VMID(fmt.Sprint(j)), request, BucketStart{}); f.reaches(j, i) {
					from.AddTokens(now, grant)
				}
			}
		}
	}
}

const (
	// lostDatagrams is the share of the datagrams that are lost.
	lostDatagrams    = 0.02
	exchangeInterval = 50 * time.Millisecond
)

// mostInAnyWindow returns the most admissions in any window.
func mostInAnyWindow(admitted []time.Time) int {
	best, from := 0, 0
	for to := range admitted {
		for admitted[to].Sub(admitted[from]) > window {
			from++
		}
		best = max(best, to-from+1)
	}
	return best
}

// simulate sends operations at a rate that changes over time, divided among the failure domains by uneven weights. It returns when
// operations were admitted and how many were rejected.
func simulate(f *simulation, team policy.Team, seed uint64, seconds int, demand func(at time.Duration) float64, event func(at time.Duration)) (admitted []time.Time, rejected int) {
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
			f.exchangeReports(now)
		}
		if at%exchangeInterval == 0 {
			f.exchangeTokens(now)
		}
		if event != nil {
			event(at)
		}
		for i, l := range f.limiters {
			expected := demand(at) * step.Seconds() * weights[i] / total
			for ; expected > random.Float64(); expected-- {
				if l.Admit(now, team, BucketStart{}).Admitted {
					admitted = append(admitted, now)
				} else {
					rejected++
				}
			}
		}
	}
	return admitted, rejected
}

func TestHotTeamStaysWithinItsRateFromTheFirstWindow(t *testing.T) {
	// Guards against a load that once exceeded the limit: from one moment on, one team sends several times its usual load.
	for _, domains := range []int{2, 3, 4, 6} {
		for seed := range uint64(20) {
			rate := []float64{200, 26, 7}[seed%3]
			team := policy.Team{Name: "hot", Rate: rate, Burst: rate}
			f := newSimulation(time.Unix(0, 0), domains, 20, team)
			admitted, _ := simulate(f, team, seed, 25, func(at time.Duration) float64 {
				if at > 8*time.Second && at < 16*time.Second {
					return 6 * team.Rate
				}
				return 0.7 * team.Rate
			}, nil)
			require.LessOrEqual(t, mostInAnyWindow(admitted), allowed(team, 20), "failure domains %d seed %d", domains, seed)
		}
	}
}

// TestRestartOfAllVMsServesUnevenDomainsAtOnce guards against rejections after a power failure: one failure domain gets most of the load,
// and no VM has received any report yet.
func TestRestartOfAllVMsServesUnevenDomainsAtOnce(t *testing.T) {
	shares := []float64{0.5, 0.3, 0.2}
	team := policy.Team{Name: "team", Rate: 60, Burst: 60}
	rejected, admitted := 0, 0
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 3))
		start := time.Unix(0, 0)
		f := newSimulation(start, len(shares), 20, team)
		const step = 5 * time.Millisecond
		for at := 500 * time.Millisecond; at < 4*time.Second; at += step {
			now := start.Add(at)
			if at%time.Second == 0 {
				f.exchangeReports(now)
			}
			if at%exchangeInterval == 0 {
				f.exchangeTokens(now)
			}
			for i, l := range f.limiters {
				if 0.7*team.Rate*step.Seconds()*shares[i] <= random.Float64() {
					continue
				}
				if l.Admit(now, team, BucketStart{}).Admitted {
					admitted++
				} else {
					rejected++
				}
			}
		}
	}
	t.Logf("rejected %d of %d", rejected, admitted+rejected)
	require.LessOrEqual(t, float64(rejected), 0.02*float64(admitted+rejected))
}

func TestSplitSharesAddUpToTheRate(t *testing.T) {
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

func TestPartitionedFailureDomainStaysWithinItsShare(t *testing.T) {
	team := policy.Team{Name: "team", Rate: 60, Burst: 60}
	for seed := range uint64(10) {
		f := newSimulation(time.Unix(0, 0), 3, 20, team)
		admitted, _ := simulate(f, team, seed, 30, func(at time.Duration) float64 {
			if at > 10*time.Second {
				return 4 * team.Rate
			}
			return 0.8 * team.Rate
		}, func(at time.Duration) {
			for i := range f.limiters {
				f.partitioned[i] = i == 0 && at > 12*time.Second && at < 20*time.Second
			}
		})
		require.LessOrEqual(t, mostInAnyWindow(admitted), allowed(team, 20), "seed %d", seed)
	}
}

func TestUsualDemandIsSeldomRejected(t *testing.T) {
	team := policy.Team{Name: "team", Rate: 60, Burst: 60}
	admittedAll, rejectedAll := 0, 0
	for seed := range uint64(10) {
		f := newSimulation(time.Unix(0, 0), 3, 20, team)
		admitted, rejected := simulate(f, team, seed, 40, func(time.Duration) float64 { return 0.7 * team.Rate }, nil)
		admittedAll += len(admitted)
		rejectedAll += rejected
	}
	t.Logf("rejected %d of %d", rejectedAll, admittedAll+rejectedAll)
	require.LessOrEqual(t, float64(rejectedAll), 0.001*float64(admittedAll+rejectedAll))
}

func TestRestartOfAllVMsGrantsNoSecondBurst(t *testing.T) {
	team := policy.Team{Name: "team", Rate: 26, Burst: 26}
	hot := func(time.Duration) float64 { return 5 * team.Rate }
	first := newSimulation(time.Unix(0, 0), 3, 20, team)
	before, _ := simulate(first, team, 1, 10, hot, nil)
	end := before[len(before)-1]
	second := newSimulation(end, 3, 20, team)
	after, _ := simulate(second, team, 2, 10, hot, nil)
	for i := range after {
		// simulate starts ten seconds after the epoch; the second run starts where the first ended.
		after[i] = end.Add(after[i].Sub(time.Unix(10, 0)) + time.Second)
	}
	require.LessOrEqual(t, mostInAnyWindow(append(before, after...)), allowed(team, 20))
}
