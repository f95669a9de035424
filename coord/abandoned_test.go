package coord

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/state"
)

// TestReplacementUnderEndedLeaseIsAbandoned guards against a replacement that no VM continues although its coordinator lease has ended.
// All processes were killed just after a promotion was ordered. Another VM claimed the coordinator lease for another group, and no VM
// continued the first replacement for six seconds (trouble-3 of cbt-fermes).
func TestReplacementUnderEndedLeaseIsAbandoned(t *testing.T) {
	intent := state.Intent{Term: 2, Holder: "a", Fence: 2}
	for name, c := range map[string]struct {
		lease     state.CoordinatorLease
		boot      model.BootID
		abandoned bool
	}{
		"lease still held":               {lease: state.CoordinatorLease{Holder: "a", Boot: "first", Fence: 2, Version: 5}, boot: "first"},
		"another holder":                 {lease: state.CoordinatorLease{Holder: "b", Boot: "first", Fence: 3, Version: 9}, boot: "first", abandoned: true},
		"lease given up":                 {lease: state.CoordinatorLease{Holder: "a", Boot: "first", Fence: 2, Released: true, Version: 9}, boot: "first", abandoned: true},
		"process of the holder ended":    {lease: state.CoordinatorLease{Holder: "a", Boot: "first", Fence: 2, Version: 5}, boot: "second", abandoned: true},
		"cached lease older than intent": {lease: state.CoordinatorLease{Holder: "b", Boot: "first", Fence: 1, Released: true, Version: 3}, boot: "first"},
	} {
		t.Run(name, func(t *testing.T) {
			snapshot := &state.Snapshot{Coordinator: c.lease, VMs: map[model.VMID]state.VM{"a": {Name: "a", Boot: c.boot, Version: 7}}}
			require.Equal(t, c.abandoned, isAbandoned(snapshot, intent))
		})
	}
}
