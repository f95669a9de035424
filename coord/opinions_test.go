package coord

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/state"
)

// TestOpinionsOnAPrimaryDoNotGrowWithTheFleet guards against a storm of requests in a large fleet: each VM that suspected a primary asked
// all others, and each of these sent a request to the primary.
func TestOpinionsOnAPrimaryDoNotGrowWithTheFleet(t *testing.T) {
	for _, vms := range []int{20, 295, 930} {
		var all []state.VM
		for i := range vms {
			all = append(all, state.VM{Name: model.VMID(fmt.Sprint(i)), Domain: model.Domain(fmt.Sprint(i % 5))})
		}
		sample := sampleVMs(all, opinionsPerDomain)
		perDomain := map[model.Domain]int{}
		names := map[model.VMID]bool{}
		for _, vm := range sample {
			perDomain[vm.Domain]++
			names[vm.Name] = true
		}
		require.Len(t, names, len(sample), "no VM is asked twice")
		require.Len(t, perDomain, 5)
		for domain, count := range perDomain {
			require.Equal(t, min(opinionsPerDomain, vms/5), count, "failure domain %s of %d VMs", domain, vms)
		}
	}
	require.Empty(t, sampleVMs(nil, opinionsPerDomain))
}
