package node

import (
	"sync"

	"github.com/crocusshore/crocusshore/peers"
)

// lostView is what a VM, as the reader of its failure domain, tells the other VMs there. It is safe for concurrent use.
type lostView struct {
	mu sync.Mutex
	// lost is set while the failure domain is lost.
	lost *peers.LostDomain
	// changed is closed and replaced whenever the failure domain becomes lost or no longer is.
	changed chan struct{}
}

func newLostView() *lostView { return &lostView{changed: make(chan struct{})} }

// get returns the present view, nil unless the failure domain is lost.
func (v *lostView) get() *peers.LostDomain {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.lost
}

// set replaces the view.
func (v *lostView) set(lost *peers.LostDomain) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if (lost != nil) != (v.lost != nil) {
		close(v.changed)
		v.changed = make(chan struct{})
	}
	v.lost = lost
}

// changedFrom returns a channel that is closed once the view differs from what a VM knows; it is nil if the VM does not state what it knows.
func (v *lostView) changedFrom(knowsLost *bool) <-chan struct{} {
	if knowsLost == nil {
		return nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if *knowsLost == (v.lost != nil) {
		return v.changed
	}
	differs := make(chan struct{})
	close(differs)
	return differs
}
