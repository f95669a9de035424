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

// startConfig returns the configuration of one of some failure domains, with the bounds of the users' rule.
func startConfig(domains int, find func(model.TeamName) (policy.Team, bool)) Config {
	return Config{Weight: func() float64 { return Weight(domains) }, Slack: 20, Excess: 0.1, Window: window, Team: find}
}

// TestStartsOfAllVMsStayWithinTheLimit guards against a limit that is exceeded when all VMs start twice within a window while a team sends as
// much as it can, after a pause in which its burst was saved up.
func TestStartsOfAllVMsStayWithinTheLimit(t *testing.T) {
	const domains, down = 5, 700 * time.Millisecond // A process that ends is restarted after a short delay and reads the store first.
	for _, rate := range []float64{2, 8, 26, 200} {
		for _, secondStart := range []time.Duration{1200 * time.Millisecond, 2 * time.Second, 3500 * time.Millisecond} {
			team := policy.Team{Name: "hot", Rate: rate, Burst: 2 * rate}
			find := func(model.TeamName) (policy.Team, bool) { return team, true }
			start := time.Unix(1000, 0)
			starts := []time.Duration{0, 10 * time.Second, 10*time.Second + secondStart}
			var admitted []time.Time
			for i, from := range starts {
				until := 20 * time.Second
				if i+1 < len(starts) {
					until = starts[i+1] - down
				}
				var limiters []*Limiter
				for range domains {
					limiters = append(limiters, New(start.Add(from), startConfig(domains, find)))
				}
				for at := from; at < until; at += 5 * time.Millisecond {
					if i == 0 && at < 8*time.Second {
						continue // The burst is saved up.
					}
					now := start.Add(at)
					for _, l := range limiters {
						for l.Admit(now, team, BucketStart{FillFrom: start.Add(from), AfterStart: true}).Admitted {
							admitted = append(admitted, now)
						}
					}
				}
			}
			require.LessOrEqual(t, mostInAnyWindow(admitted), allowed(team, 20), "rate %v, second start after %s", rate, secondStart)
		}
	}
}

// TestStartOfAllVMsServesSmallTeams replays the load after all VMs were killed: 190 teams of very different sizes send their usual demand to
// five failure domains, whose buckets were empty, so that a small team waited for seconds for its first token.
func TestStartOfAllVMsServesSmallTeams(t *testing.T) {
	const domains, teams, total, quota = 5, 190, 2400.0, 1.6
	const step = 5 * time.Millisecond
	random := rand.New(rand.NewPCG(11, 1))
	limits := map[model.TeamName]policy.Team{}
	var names []model.TeamName
	sum := 0.0
	for i := range teams {
		sum += 1 / float64(i+1)
	}
	for i := range teams {
		rate := quota * total / sum / float64(i+1)
		name := model.TeamName(fmt.Sprint(i))
		names = append(names, name)
		limits[name] = policy.Team{Name: name, Rate: rate, Burst: 2 * rate}
	}
	find := func(name model.TeamName) (policy.Team, bool) { team, known := limits[name]; return team, known }
	start := time.Unix(1000, 0)
	var limiters []*Limiter
	for range domains {
		limiters = append(limiters, New(start, startConfig(domains, find)))
	}
	admitted, rejected := 0, 0
	for at := 200 * time.Millisecond; at < 2200*time.Millisecond; at += step {
		now := start.Add(at)
		for _, name := range names {
			for _, l := range limiters {
				if limits[name].Rate/quota/domains*step.Seconds() <= random.Float64() {
					continue
				}
				if l.Admit(now, limits[name], BucketStart{FillFrom: start, AfterStart: true}).Admitted {
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
