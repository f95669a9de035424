package conns

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

func TestConnectionsAreSharedWhereTheyAreFewerThanVMsNeed(t *testing.T) {
	for _, c := range []struct {
		most, vms int
		shared    bool
	}{{48, 13, false}, {48, 17, false}, {140, 21, false}, {87, 117, true}, {370, 99, false}, {20, 930, true}, {1, 1, true}} {
		require.Equal(t, c.shared, Shared(c.most, c.vms), "%d connections for %d VMs", c.most, c.vms)
	}
}

func TestBudgetsOfAllHomesStayUnderTheCap(t *testing.T) {
	for _, c := range []struct{ most, vms, domains int }{{87, 117, 3}, {87, 30, 3}, {60, 300, 6}, {200, 930, 6}} {
		near := c.vms / c.domains
		for _, primary := range []bool{false, true} {
			total := 0
			for domain := range c.domains {
				for rank := range homesOfInstance {
					total += HomeBudget(Part(c.most, near, c.vms-near, domain == 0, primary), near, rank)
				}
			}
			require.LessOrEqual(t, total, c.most-spareConnections, "%+v primary %t", c, primary)
			require.Greater(t, total, (c.most-spareConnections)/2, "%+v primary %t", c, primary)
		}
	}
	require.Equal(t, leastBudget, HomeBudget(10, 40, -1))
	require.Equal(t, backupBudget, HomeBudget(10, 40, homesOfInstance))
	require.Positive(t, HomeBudget(0, 1, 0))
}

func TestTeamsPreferOneHomeEachAndKnowAll(t *testing.T) {
	first := map[int]int{}
	for i := range 100 {
		order := Prefer(MostHomes, model.TeamName(fmt.Sprint("team-", i)))
		require.ElementsMatch(t, []int{0, 1, 2, 3}, order)
		require.Less(t, order[1], homesOfInstance, "backups come last")
		first[order[0]]++
	}
	require.Len(t, first, homesOfInstance)
	require.Greater(t, first[0], 25)
	require.Greater(t, first[1], 25)
	require.Equal(t, []int{0}, Prefer(1, "team"))
	require.Empty(t, Prefer(0, "team"))
}
