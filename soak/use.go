package soak

import (
	"context"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// use is the arrival of a statement of a caller at an instance.
type use struct {
	instance model.InstanceName
	id       model.RequestID
	// vm is the VM that the caller sent the statement to.
	vm model.VMID
	at time.Time
}

// recordUse records the arrival of a statement of a caller.
func (h *history) recordUse(u use) {
	h.mu.Lock()
	h.uses[u.instance] = u.at
	onUse := h.onUse
	h.mu.Unlock()
	if onUse != nil {
		onUse(u)
	}
}

// lastUse returns when the last statement of a caller arrived at an instance.
func (h *history) lastUse(instance model.InstanceName) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.uses[instance]
}

// checkUses checks that each instance gets statements of callers again after an instant, within recoveryTimeout.
func (s *site) checkUses(ctx context.Context, since time.Time) {
	unused := func() []model.InstanceName {
		var names []model.InstanceName
		for _, i := range s.instances {
			if !s.history.lastUse(i.Name).After(since) {
				names = append(names, i.Name)
			}
		}
		return names
	}
	if !s.await(ctx, recoveryTimeout, func() bool { return len(unused()) == 0 }) {
		s.history.addViolation("unused: %v got no statement of a caller %s after the last fault", unused(), recoveryTimeout)
	}
}
