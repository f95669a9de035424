package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/admin"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/retry"
	"github.com/crocusshore/crocusshore/term"
	"github.com/crocusshore/crocusshore/tree"
	"github.com/crocusshore/crocusshore/view"
)

// switchTimeout bounds how long an operator's command waits for a switch of the primary; after that it reports that the
// switch is still in progress.
const switchTimeout = 8 * time.Second

// ListGroups implements admin.Handler.
func (o operatorServer) ListGroups(ctx context.Context) ([]admin.GroupInfo, error) {
	s := o.server
	state := s.views.State()
	listed := []admin.GroupInfo{}
	for _, group := range state.Tree.Groups() {
		placement := state.Placements[group.Name]
		info := admin.GroupInfo{Name: string(group.Name), Term: int64(placement.Term), Primary: string(placement.Primary), Instances: []admin.InstanceInfo{}}
		statuses := s.collectStatus(ctx, group, len(group.Instances))
		for _, instance := range group.Instances {
			info.Instances = append(info.Instances, instanceInfo(instance, statuses))
		}
		listed = append(listed, info)
	}
	return listed, nil
}

func instanceInfo(instance tree.Instance, statuses map[model.InstanceName]model.UpstreamStatus) admin.InstanceInfo {
	status, reachable := statuses[instance.Name]
	return admin.InstanceInfo{
		Name:      string(instance.Name),
		Domain:    string(instance.Domain),
		Address:   instance.Address.String(),
		Leaving:   instance.Leaving,
		Reachable: reachable,
		Applied:   int64(status.Applied),
	}
}

// SwitchPrimary implements admin.Handler.
func (o operatorServer) SwitchPrimary(ctx context.Context, request *admin.InstanceRef, params admin.SwitchPrimaryParams) (*admin.Changed, error) {
	s := o.server
	name, target := model.GroupName(params.Group), model.InstanceName(request.Instance)
	version, err := s.committer.Commit(ctx, func(state *view.State) (view.Change, error) {
		return switchChange(state, name, target)
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, switchTimeout)
	defer cancel()
	for s.views.State().Placements[name].Primary != target {
		if !retry.Sleep(ctx, placementPollInterval) {
			return &admin.Changed{Version: int64(version), InForce: false, Missing: []string{string(target)}}, nil
		}
	}
	return &admin.Changed{Version: int64(s.views.State().Version), InForce: true, Missing: []string{}}, nil
}

func switchChange(state *view.State, name model.GroupName, target model.InstanceName) (view.Change, error) {
	change := view.Change{Author: "operator", Summary: "switch of the primary of " + string(name)}
	group := state.Tree.Group(name)
	if group == nil {
		return change, errors.Newf("the group %s does not exist", name)
	}
	if _, known := group.Instance(target); !known {
		return change, errors.Newf("the group %s has no instance %s", name, target)
	}
	placement := state.Placements[name]
	if placement.Primary == target {
		return change, errors.Newf("%s is the primary already", target)
	}
	if placement.Primary == "" {
		return change, errors.Newf("the group %s is changing its primary now; try again later", name)
	}
	next := term.NextTerm(placement, target)
	next.Raised = state.Version + 1
	return change, change.Put(view.PlacementKey(name), next)
}

// GetStatus implements admin.Handler.
func (o operatorServer) GetStatus(ctx context.Context) (*admin.FleetStatus, error) {
	s := o.server
	state := s.views.State()
	status := &admin.FleetStatus{
		VM:         string(s.config.VM),
		Version:    int64(state.Version),
		Confirmed:  s.views.ConfirmedWithin(s.now(), state.FleetSettings().WriteBound),
		Vms:        s.vmInfos(ctx),
		Stewards:   []string{},
		Violations: s.violations.List(),
	}
	for _, member := range state.Stewards.Current {
		status.Stewards = append(status.Stewards, string(member.VM))
	}
	return status, nil
}

func (s *Server) vmInfos(ctx context.Context) []admin.VmInfo {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	vms := s.directory.All()
	infos := make([]admin.VmInfo, len(vms))
	var wait sync.WaitGroup
	for i, vm := range vms {
		wait.Go(func() { infos[i] = s.vmInfo(ctx, vm) })
	}
	wait.Wait()
	return infos
}

func (s *Server) vmInfo(ctx context.Context, vm model.VM) admin.VmInfo {
	info := admin.VmInfo{ID: string(vm.ID), Domain: string(vm.Domain), Leaving: vm.Leaving}
	if vm.ID == s.config.VM {
		age, _ := s.views.Age(s.now())
		info.Reachable, info.Version, info.ConfirmationAgeMs = true, int64(s.views.State().Version), age.Milliseconds()
		return info
	}
	answer, err := s.requestConfirmation(ctx, vm)
	if err == nil {
		info.Reachable, info.Version, info.ConfirmationAgeMs = true, answer.Version, answer.AgeUs/int64(time.Millisecond/time.Microsecond)
	}
	return info
}
