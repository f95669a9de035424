package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

func vms(count int) []model.VM {
	var list []model.VM
	for i := range count {
		list = append(list, model.VM{ID: model.VMID(fmt.Sprintf("vm-%d", i)), Domain: model.Domain(fmt.Sprintf("domain-%d", i%3))})
	}
	return list
}

func TestRemovedVMMovesOnlyItsOwnRoles(t *testing.T) {
	all := vms(21)
	survivors := all[1:]
	moved := 0
	for role := range 500 {
		name := fmt.Sprint(role)
		before, after := Rank(name, all)[0].ID, Rank(name, survivors)[0].ID
		if before == all[0].ID {
			moved++
			require.Equal(t, Rank(name, all)[1].ID, after, "the next VM in the ranking takes over")
			continue
		}
		require.Equal(t, before, after)
	}
	require.InDelta(t, 500/21, moved, 15)
}

func TestRankDomainFirstPrefersTheFailureDomain(t *testing.T) {
	ranked := RankDomainFirst("home", "domain-1", vms(9))
	require.Len(t, ranked, 9)
	for i, vm := range ranked {
		require.Equal(t, i < 3, vm.Domain == "domain-1")
	}
}

func TestUnreachableVMIsSkippedUntilItsMarkExpires(t *testing.T) {
	all := vms(3)
	d := New(DirectoryConfig{Self: all[0]})
	now := time.Unix(0, 0)
	d.Update(now, all)
	require.Len(t, d.Ranked("duty"), 3)
	d.MarkUnreachable(now, all[1].ID)
	require.Len(t, d.Ranked("duty"), 2)
	d.ExpireUnreachable(now.Add(unreachablePeriod / 2))
	require.Len(t, d.Live(), 2)
	d.ExpireUnreachable(now.Add(2 * unreachablePeriod))
	require.Len(t, d.Ranked("duty"), 3)
	d.MarkUnreachable(now, all[1].ID)
	d.MarkReachable(all[1].ID)
	require.Len(t, d.Live(), 3)
	d.MarkUnreachable(now, all[0].ID)
	require.Len(t, d.Live(), 3, "a VM does not mark itself as unreachable")
	d.Update(now, all[1:])
	require.Len(t, d.All(), 3, "a VM stays in its own list if the list of the platform lags")
}

func TestDigestIgnoresTheOrder(t *testing.T) {
	all := vms(5)
	reversed := []model.VM{all[4], all[3], all[2], all[1], all[0]}
	require.Equal(t, Digest(all), Digest(reversed))
	all[0].Leaving = true
	require.NotEqual(t, Digest(all), Digest(reversed))
}
