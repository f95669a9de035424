package soak

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestBalancerLeavesOutVMsThatMissTwice(t *testing.T) {
	vms := []*process{{}, {}, {}, {}}
	random := rand.New(rand.NewPCG(1, 1))
	for name, c := range map[string]struct {
		misses []int
		chosen []int
	}{
		"one miss":         {[]int{1, 1, 1, 1}, []int{0, 1, 2, 3}},
		"half left":        {[]int{2, 0, 3, 1}, []int{1, 3}},
		"fewer than half":  {[]int{2, 0, 3, 2}, []int{0, 1, 2, 3}},
		"none in rotation": {[]int{2, 2, 2, 2}, []int{0, 1, 2, 3}},
	} {
		t.Run(name, func(t *testing.T) {
			b := &balancer{vms: vms, misses: c.misses}
			var chosen, expected []*process
			for range 100 {
				chosen = append(chosen, b.choose(random))
			}
			for _, n := range c.chosen {
				expected = append(expected, vms[n])
				require.Contains(t, chosen, vms[n])
			}
			require.Subset(t, expected, chosen)
		})
	}
}
