package reach

import (
	"slices"

	"github.com/crocusshore/crocusshore/state"
)

// Targets are the VMs to which a round of probes is sent: one list for each other failure domain.
type Targets [][]state.VM

// VMs returns all of the VMs.
func (t Targets) VMs() []state.VM { return slices.Concat(t...) }

// Conclusive reports whether a lack of answers shows that the failure domain is cut off: in each of the others, a target has answered a probe
// before. VMs with an older program answer none, and neither do VMs that are gone for good.
func (t Targets) Conclusive(answered func(state.VM) bool) bool {
	for _, vms := range t {
		if !slices.ContainsFunc(vms, answered) {
			return false
		}
	}
	return len(t) > 0
}
