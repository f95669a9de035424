package orders

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/world"
)

// TestReplacementOfAnOlderDutyIsAbandoned replays trouble-3 of cbt-fermes: all processes were killed just after a promotion was
// ordered; another VM took the duty for another group, and nobody went on with the first for six seconds.
func TestReplacementOfAnOlderDutyIsAbandoned(t *testing.T) {
	intent := world.Intent{Term: 2, Holder: "a", Fence: 2}
	for name, c := range map[string]struct {
		duty      world.CoordinatorLease
		boot      model.BootID
		abandoned bool
	}{
		"goes on":                        {duty: world.CoordinatorLease{Holder: "a", Boot: "first", Fence: 2, Version: 5}, boot: "first"},
		"another holder":                 {duty: world.CoordinatorLease{Holder: "b", Boot: "first", Fence: 3, Version: 9}, boot: "first", abandoned: true},
		"given back":                     {duty: world.CoordinatorLease{Holder: "a", Boot: "first", Fence: 2, Released: true, Version: 9}, boot: "first", abandoned: true},
		"its process ended":              {duty: world.CoordinatorLease{Holder: "a", Boot: "first", Fence: 2, Version: 5}, boot: "second", abandoned: true},
		"the duty as seen here is older": {duty: world.CoordinatorLease{Holder: "b", Boot: "first", Fence: 1, Released: true, Version: 3}, boot: "first"},
	} {
		t.Run(name, func(t *testing.T) {
			state := &world.Snapshot{Coordinator: c.duty, VMs: map[model.VMID]world.VM{"a": {Name: "a", Boot: c.boot, Version: 7}}}
			require.Equal(t, c.abandoned, abandoned(state, intent))
		})
	}
}
