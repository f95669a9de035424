package entry

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/fleet"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/view"
)

const (
	stewardInterval = 500 * time.Millisecond
	stewardTimeout  = 2 * time.Second
	// stewardFailAfter is how long a steward may fail to answer before it is replaced.
	stewardFailAfter = 2 * time.Second
	// startupDelay is how long a newly started server waits for the list of VMs before it assigns shards and stewards.
	startupDelay = 2 * time.Second
	// vmsPerTask is how many VMs carry out a task on behalf of all VMs.
	vmsPerTask = 2
)

// maintainStewards replaces stewards that have failed or are leaving. Stewards are the VMs that confirm the view by
// majority while the store is unreachable.
func (s *Server) maintainStewards(ctx context.Context) {
	every(ctx, stewardInterval, func(ctx context.Context) {
		if !s.isAssigned("stewards") {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, stewardTimeout)
		defer cancel()
		if err := s.updateStewards(ctx); err != nil && !errors.Is(err, view.ErrNoChange) {
			s.log.Debug("replacing stewards failed", "error", err)
		}
	})
}

// isAssigned reports whether this VM is one of the vmsPerTask VMs that rank first for a task on behalf of all VMs.
func (s *Server) isAssigned(task string) bool {
	now := s.now()
	if s.leaving.Load() || now.Sub(s.startedAt) < startupDelay || s.views.State().Version == 0 {
		return false
	}
	rank, chosen := fleet.Index(s.config.VM, s.directory.Ranked(task))
	return chosen && rank < vmsPerTask
}

func (s *Server) updateStewards(ctx context.Context) error {
	stewards := s.views.State().Stewards
	if len(stewards.Previous) > 0 {
		return s.removePreviousStewards(ctx, stewards)
	}
	wanted := s.chooseStewards(ctx, stewards.Current)
	if sameMembers(wanted, stewards.Current) {
		return nil
	}
	_, err := s.committer.Commit(ctx, func(state *view.State) (view.Change, error) {
		if len(state.Stewards.Previous) > 0 || !sameMembers(state.Stewards.Current, stewards.Current) {
			return view.Change{}, view.ErrNoChange
		}
		next := view.Stewards{Current: wanted, Previous: stewards.Current, Since: state.Version + 1}
		change := view.Change{Author: string(s.config.VM), Summary: "stewards replaced"}
		return change, change.Put(view.StewardsKey(), next)
	})
	return err
}

// removePreviousStewards removes the previous stewards from the view if the change that replaced them is known to be in
// effect; otherwise it only tracks that change.
func (s *Server) removePreviousStewards(ctx context.Context, stewards view.Stewards) error {
	s.committer.Track(ctx, stewards.Since)
	if !s.committer.InEffect(s.now(), stewards.Since) {
		return nil
	}
	_, err := s.committer.Commit(ctx, func(state *view.State) (view.Change, error) {
		if state.Stewards.Since != stewards.Since || len(state.Stewards.Previous) == 0 {
			return view.Change{}, view.ErrNoChange
		}
		next := view.Stewards{Current: state.Stewards.Current, Since: state.Stewards.Since}
		change := view.Change{Author: string(s.config.VM), Summary: "change of the stewards completed"}
		return change, change.Put(view.StewardsKey(), next)
	})
	return err
}

// chooseStewards returns the current stewards that are live and have not failed or been restarted, filled up with other
// live VMs from the failure domains in turn.
func (s *Server) chooseStewards(ctx context.Context, current []view.Member) []view.Member {
	live := s.directory.Live()
	wanted := make([]view.Member, 0, len(current))
	for _, member := range current {
		_, listed := fleet.Index(member.VM, live)
		failed := s.stewardFailed(ctx, member) || s.prober.restarted(member)
		if listed && !failed {
			wanted = append(wanted, member)
		}
	}
	count := s.views.State().FleetSettings().Stewards
	for _, vm := range interleaveDomains(live) {
		if len(wanted) >= count {
			break
		}
		if member, ok := s.memberOf(ctx, vm); ok && !hasVM(wanted, vm.ID) {
			wanted = append(wanted, member)
		}
	}
	return wanted[:min(len(wanted), count)]
}

func (s *Server) stewardFailed(ctx context.Context, member view.Member) bool {
	return member.Boot != s.boot && s.prober.checkVMFailed(ctx, member, stewardFailAfter)
}

// memberOf returns the process that runs on a VM now; it returns false if another VM does not answer or is leaving.
func (s *Server) memberOf(ctx context.Context, vm model.VM) (view.Member, bool) {
	member := view.Member{VM: vm.ID, Domain: vm.Domain, Address: vm.Address, Boot: s.boot}
	if vm.ID == s.config.VM {
		return member, true
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	answer, err := s.requestConfirmation(ctx, vm)
	if err != nil || answer.Leaving {
		return view.Member{}, false
	}
	member.Boot = model.BootID(answer.BootId)
	return member, true
}

// interleaveDomains orders VMs round-robin by failure domain.
func interleaveDomains(vms []model.VM) []model.VM {
	var ordered []model.VM
	domains := fleet.Domains(vms)
	for round := 0; len(ordered) < len(vms); round++ {
		for _, domain := range domains {
			if ranked := fleet.Rank("steward", fleet.InDomain(domain, vms)); round < len(ranked) {
				ordered = append(ordered, ranked[round])
			}
		}
	}
	return ordered
}

func hasVM(members []view.Member, id model.VMID) bool {
	return slices.ContainsFunc(members, func(m view.Member) bool { return m.VM == id })
}

func sameMembers(a, b []view.Member) bool { return slices.Equal(a, b) }
