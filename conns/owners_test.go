package conns

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

func TestBudgetsOfAllOwnersStayUnderTheLimit(t *testing.T) {
	for _, c := range []struct {
		limit       int
		domainSizes []int
	}{
		{48, []int{7, 3, 3}},
		{48, []int{4, 5, 4}},
		{48, []int{2, 6, 5}},
		{140, []int{7, 7, 7}},
		{87, []int{39, 39, 39}},
		{87, []int{10, 10, 10}},
		{370, []int{25, 25, 25, 24}},
		{60, []int{50, 50, 50, 50, 50, 50}},
		{200, []int{155, 155, 155, 155, 155, 155}},
	} {
		vms := 0
		for _, size := range c.domainSizes {
			vms += size
		}
		for instance, localVMs := range c.domainSizes {
			for _, primary := range []bool{false, true} {
				total := 0
				for domain, size := range c.domainSizes {
					equalShare := EqualShare(c.limit, localVMs, vms-localVMs, domain == instance, primary)
					for rank := range min(mainOwners, size) {
						total += OwnerBudget(equalShare, size, rank)
					}
				}
				require.LessOrEqual(t, total, c.limit-reservedConnections, "%+v primary %t", c, primary)
				require.Greater(t, total, (c.limit-reservedConnections)/2, "%+v primary %t", c, primary)
			}
		}
	}
	require.Equal(t, minBudget, OwnerBudget(10, 40, -1))
	require.Equal(t, backupBudget, OwnerBudget(10, 40, mainOwners))
	require.Positive(t, OwnerBudget(0, 1, 0))
}

func TestTeamsSpreadOverTheMainOwners(t *testing.T) {
	first := map[int]int{}
	for i := range 100 {
		order := OwnerOrder(MaxOwners, model.TeamName(fmt.Sprint("team-", i)))
		require.ElementsMatch(t, []int{0, 1, 2, 3}, order)
		require.Less(t, order[1], mainOwners, "backups come last")
		first[order[0]]++
	}
	require.Len(t, first, mainOwners)
	require.Greater(t, first[0], 25)
	require.Greater(t, first[1], 25)
	require.Equal(t, []int{0}, OwnerOrder(1, "team"))
	require.Empty(t, OwnerOrder(0, "team"))
}
