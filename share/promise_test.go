package share

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/policy"
)

// TestTeamGetsNoMoreThanItsRateAndBurst guards against a tolerance that is used up although no caller needs it: teams whose own burst serves
// every failure domain were admitted more than their rate and burst.
func TestTeamGetsNoMoreThanItsRateAndBurst(t *testing.T) {
	for _, domains := range []int{3, 5} {
		team := policy.Team{Name: "hot", Rate: 60, Burst: 60}
		promised := int(team.Rate*window.Seconds() + team.Burst)
		for seed := range uint64(10) {
			f := newSimulation(time.Unix(0, 0), domains, 20, team)
			admitted, _ := simulate(f, team, seed, 25, func(at time.Duration) float64 {
				if at > 8*time.Second && at < 16*time.Second {
					return 6 * team.Rate
				}
				return 0.7 * team.Rate
			}, nil)
			require.LessOrEqual(t, mostInAnyWindow(admitted), promised, "failure domains %d seed %d", domains, seed)
		}
	}
}

// TestSmallTeamIsSeldomRejectedWithinItsRate guards against teams that are refused well within their rate because a failure domain's part of their
// burst is less than its callers ask for at once.
func TestSmallTeamIsSeldomRejectedWithinItsRate(t *testing.T) {
	for _, rate := range []float64{2, 5, 10} {
		team := policy.Team{Name: "small", Rate: rate, Burst: rate}
		rejectedAll, all := 0, 0
		for seed := range uint64(10) {
			f := newSimulation(time.Unix(0, 0), 3, 20, team)
			admitted, rejected := simulate(f, team, seed, 40, func(time.Duration) float64 { return 0.7 * team.Rate }, nil)
			rejectedAll += rejected
			all += len(admitted) + rejected
		}
		require.LessOrEqual(t, float64(rejectedAll), 0.001*float64(all), "rate %v", rate)
	}
}
