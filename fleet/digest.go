package fleet

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusshore/crocusshore/model"
)

// Digest returns a hash of a list of VMs that does not depend on their order. The digest of the empty list is 0.
func Digest(vms []model.VM) uint64 {
	var sum uint64
	for _, vm := range vms {
		sum += xxhash.Sum64String(fmt.Sprint(vm.ID, vm.Domain, vm.Address, vm.Leaving))
	}
	return sum
}
