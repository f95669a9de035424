package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/fleet"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/term"
	"github.com/crocusshore/crocusshore/tree"
	"github.com/crocusshore/crocusshore/view"
)

const (
	planInterval = 100 * time.Millisecond
	planTimeout  = 2 * time.Second
	// healthyCheckInterval is the interval at which a healthy group is checked.
	healthyCheckInterval = time.Second
	// maxPlanRounds bounds how many rounds of steps follow one another without a pause.
	maxPlanRounds = 8
	// stragglerWait bounds the wait for the remaining instances once enough have answered.
	stragglerWait = 30 * time.Millisecond
)

// groupPlanner keeps the primary of one group and the roles of its instances up to date. Every VM runs one for each
// group, but only the planners on the VMs that plannerRank selects act.
type groupPlanner struct {
	server *Server
	name   model.GroupName
	// pendingSince is when the group began to need a step; it is zero while the group needs none.
	pendingSince time.Time
	checkedAt    time.Time
}

// planGroups runs a planner for each group, which checks the group at an interval and when the view changes.
func (s *Server) planGroups(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	started := map[model.GroupName]bool{}
	every(ctx, planInterval, func(ctx context.Context) {
		for _, group := range s.views.State().Tree.Groups() {
			if !started[group.Name] {
				started[group.Name] = true
				p := &groupPlanner{server: s, name: group.Name}
				running.Go(func() { p.run(ctx) })
			}
		}
	})
}

func (p *groupPlanner) run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := p.server.views.Changed()
		p.runRounds(ctx)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(planInterval):
		}
	}
}

func (p *groupPlanner) runRounds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, planTimeout)
	defer cancel()
	for range maxPlanRounds {
		more, err := p.round(ctx)
		if err != nil && !errors.Is(err, view.ErrNoChange) {
			p.server.log.Debug("planning step failed", "group", p.name, "error", err)
		}
		if !more || err != nil {
			return
		}
	}
}

// round carries out the steps that are due and reports whether more may be due at once.
func (p *groupPlanner) round(ctx context.Context) (more bool, err error) {
	s := p.server
	state := s.views.State()
	group := state.Tree.Group(p.name)
	placement := state.Placements[p.name]
	rank, chosen := p.plannerRank()
	if group == nil || !chosen || s.leaving.Load() {
		return false, nil
	}
	failed := p.primaryFailed(ctx, state, placement)
	now := s.now()
	if placement.Primary != "" && !failed && now.Sub(p.checkedAt) < healthyCheckInterval {
		return false, nil
	}
	p.checkedAt = now
	in := p.collectInput(ctx, group, placement, rank)
	in.PrimaryFailed = failed
	if !term.NeedsStep(in) {
		p.pendingSince = time.Time{}
		return false, nil
	}
	// A group that still needs a step is checked again without waiting for healthyCheckInterval.
	p.checkedAt = time.Time{}
	if p.pendingSince.IsZero() {
		p.pendingSince = now
	}
	in.Pending = now.Sub(p.pendingSince)
	steps := term.Plan(in)
	for _, step := range steps {
		if err := p.apply(ctx, group, placement, step); err != nil {
			return false, err
		}
	}
	return len(steps) > 0, nil
}

// plannerRank returns the rank of this VM among the VMs that plan for the group: the first watcher of each failure domain.
// chosen is false if this VM is none of them.
func (p *groupPlanner) plannerRank() (rank int, chosen bool) {
	s := p.server
	var planners []model.VM
	for _, domain := range fleet.Domains(s.directory.Live()) {
		if watchers := s.prober.watchers(groupRankingKey(p.name), domain); len(watchers) > 0 {
			planners = append(planners, watchers[0])
		}
	}
	return fleet.Index(s.config.VM, fleet.Rank("plan/"+string(p.name), planners))
}

// primaryFailed reports whether the primary has failed. While the group has no primary, it reports whether the
// previous primary has failed.
func (p *groupPlanner) primaryFailed(ctx context.Context, state *view.State, placement view.Placement) bool {
	suspect := placement.LastPrimary()
	if suspect == "" {
		return false
	}
	target := instanceTarget(model.InstanceRef{Group: p.name, Instance: suspect})
	return p.server.prober.targetFailed(ctx, target, state.FleetSettings().SuspectAfter)
}

func (p *groupPlanner) collectInput(ctx context.Context, group *tree.Group, placement view.Placement, rank int) term.Input {
	s := p.server
	in := term.Input{Group: group, Placement: placement, Rank: rank}
	if placement.Primary == "" && placement.Term > 0 {
		s.committer.Track(ctx, placement.Raised)
		in.InEffect = s.committer.InEffect(s.now(), placement.Raised)
	}
	enough := len(group.Instances) - group.Majority() + 1
	if placement.Target != "" {
		// A handover needs the status of the old primary and of the target, so wait for all instances.
		enough = len(group.Instances)
	}
	in.Status = s.collectStatus(ctx, group, enough)
	return in
}

// collectStatus asks all instances of a group for their status; once enough have answered, it waits only
// stragglerWait for the others.
func (s *Server) collectStatus(ctx context.Context, group *tree.Group, enough int) map[model.InstanceName]model.UpstreamStatus {
	type answer struct {
		name   model.InstanceName
		status model.UpstreamStatus
		err    error
	}
	answers := make(chan answer, len(group.Instances))
	for _, instance := range group.Instances {
		go func() {
			status, err := s.statusOf(ctx, model.InstanceRef{Group: group.Name, Instance: instance.Name}, instance)
			answers <- answer{instance.Name, status, err}
		}()
	}
	found := map[model.InstanceName]model.UpstreamStatus{}
	var stragglers <-chan time.Time
	for range group.Instances {
		select {
		case a := <-answers:
			if a.err == nil {
				found[a.name] = a.status
			}
		case <-stragglers:
			return found
		}
		if len(found) >= enough && stragglers == nil {
			stragglers = time.After(stragglerWait)
		}
	}
	return found
}

func (p *groupPlanner) apply(ctx context.Context, group *tree.Group, placement view.Placement, step term.Step) error {
	if step.Kind == term.Command {
		return p.sendOrder(ctx, group, step)
	}
	version, err := p.server.replacePlacement(ctx, p.name, placement, step.Placement)
	if err == nil {
		p.server.log.Info("placement changed", "group", p.name, "term", step.Placement.Term, "primary", step.Placement.Primary, "version", version)
	}
	return err
}

func (p *groupPlanner) sendOrder(ctx context.Context, group *tree.Group, step term.Step) error {
	instance, _ := group.Instance(step.Instance)
	upstream, err := p.server.executor.Upstream(instance)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err = upstream.Order(ctx, step.Order)
	if err != nil && step.Order.Kind == model.OrderFollow {
		// A replica that cannot follow yet must not delay the others; the next round tries again.
		return nil
	}
	return errors.Wrapf(err, "order %s to %s", step.Order.Kind, step.Instance)
}

// replacePlacement replaces the placement of a group if its term and primary are still the given ones; otherwise the error is
// view.ErrNoChange.
func (s *Server) replacePlacement(ctx context.Context, group model.GroupName, from, to view.Placement) (model.Version, error) {
	return s.committer.Commit(ctx, func(state *view.State) (view.Change, error) {
		current := state.Placements[group]
		if current.Term != from.Term || current.Primary != from.Primary {
			return view.Change{}, view.ErrNoChange
		}
		if to.Term > from.Term {
			to.Raised = state.Version + 1
		}
		change := view.Change{Author: string(s.config.VM), Summary: "placement of " + string(group)}
		return change, change.Put(view.PlacementKey(group), to)
	})
}
