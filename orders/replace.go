package orders

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/peers"
	"github.com/crocusshore/crocusshore/retry"
	"github.com/crocusshore/crocusshore/world"
)

const (
	// settleTime is how long answers of a primary that still serves are waited for.
	settleTime = 250 * time.Millisecond
	// releaseTimeout bounds the question to a VM, on top of the settle time.
	releaseTimeout = 300 * time.Millisecond
	// feedSlack is added to the lease bound for a feed that delivers the announcement late.
	feedSlack = 1000 * time.Millisecond
	// stepPause is the pause between two looks at the replicas.
	stepPause = 25 * time.Millisecond
	// replaceTime bounds a whole replacement; what is left over is resumed.
	replaceTime = 15 * time.Second
	// opinionTimeout bounds the question what others see of a primary.
	opinionTimeout = 400 * time.Millisecond
	// askPause is the pause between two questions to VMs or replicas that did not answer.
	askPause = 200 * time.Millisecond
	// leadTime bounds the wait for a promoted instance to lead.
	leadTime = 2500 * time.Millisecond
)

// replacement is one run towards a new primary.
type replacement struct {
	s        *Supervisor
	group    model.GroupName
	old      model.Instance
	oldKnown bool
	lead     world.Lead
	duty     world.Duty
	planned  bool
	// fresh tells that nobody can have ordered a promotion for this intent before.
	fresh bool
	// stuck tells that the old primary answers and cannot commit.
	stuck bool
	// announcedAt is when the intent was known to be in the store, and pausedAt when the replicas were stopped.
	announcedAt time.Time
	pausedAt    time.Time
	releases    map[model.VMID]elect.Release
	// answering tells that the old primary answered when it was announced that it is replaced.
	answering bool
	// replicas are the replicas as they were last seen, at lookedAt.
	replicas []elect.Replica
	lookedAt time.Time
}

// replace gives a group another primary, if that is confirmed to be needed.
func (s *Supervisor) replace(ctx context.Context, group model.GroupName, need elect.Kind) error {
	ctx, cancel := context.WithTimeout(ctx, replaceTime)
	defer cancel()
	old, lead, registered := s.config.World.State().Primary(group)
	stuck := false
	if need == elect.KindSuspected {
		verdict := s.opinions(ctx, group)
		if verdict == elect.VerdictKeep {
			return nil
		}
		stuck = verdict == elect.VerdictStuck
	}
	held, err := s.duty.claim(ctx)
	if err != nil {
		return err
	}
	defer s.duty.release(context.WithoutCancel(ctx))
	r := &replacement{
		s: s, group: group, old: old, oldKnown: registered, lead: lead, duty: held,
		planned: need == elect.KindPlanned, stuck: stuck, releases: map[model.VMID]elect.Release{},
	}
	if r.planned {
		r.awaitNear(ctx)
	}
	startedAt := clock.Now()
	if err := r.run(ctx); err != nil {
		return err
	}
	s.config.Metrics.Timer("replacement").Record(clock.Now().Sub(startedAt))
	return nil
}

// opinions asks the other VMs whether the primary has to be replaced.
func (s *Supervisor) opinions(ctx context.Context, group model.GroupName) elect.Verdict {
	ctx, cancel := context.WithTimeout(ctx, opinionTimeout)
	defer cancel()
	opinions := s.config.Client.Opinions(ctx, s.config.World.State().Others(s.config.Self), group)
	opinions = append(opinions, s.config.Local.Opinion(peers.OpinionRequest{Group: group}))
	verdict := elect.Judge(opinions)
	s.config.Log.Info("opinions on a primary", "group", group, "verdict", verdict, "opinions", opinions)
	return verdict
}

func (r *replacement) run(ctx context.Context) error {
	if err := r.announce(ctx); err != nil {
		return errors.Wrap(err, "announcing the replacement")
	}
	r.stopUse(ctx)
	if target, term, found := r.leading(); found {
		return r.settle(ctx, target, term)
	}
	target, err := r.choose(ctx)
	if errors.Is(err, errKept) {
		return r.keep(ctx)
	}
	if err != nil {
		return err
	}
	if err := r.promote(ctx, target); err != nil {
		return errors.Wrap(err, "promoting")
	}
	term, err := r.awaitLead(ctx, target)
	if err != nil {
		return err
	}
	return r.settle(ctx, target, term)
}

// announce writes the intent; from then on no VM takes a new lease on the old primary.
func (r *replacement) announce(ctx context.Context) error {
	next := r.lead
	next.Next = &world.Intent{Term: r.lead.Term + 1, Holder: r.s.config.Self, Fence: r.duty.Fence}
	if r.lead.Next != nil {
		next.Next.Term = r.lead.Next.Term
	}
	r.fresh = r.lead.Next == nil
	version, err := r.write(ctx, next)
	if err != nil {
		return err
	}
	r.lead = next
	r.lead.Version = version
	r.announcedAt = clock.Now()
	r.s.config.Log.Info("replacement announced", "group", r.group, "term", next.Next.Term, "old", next.Primary, "fence", r.duty.Fence, "planned", r.planned, "row", version)
	return nil
}

// write changes the row of the lead under the duty; a lost answer is settled by reading back.
func (r *replacement) write(ctx context.Context, next world.Lead) (int64, error) {
	row, err := next.Row()
	if err != nil {
		return 0, err
	}
	expected := model.StoredRow{Table: row.Table, Key: row.Key, Version: r.lead.Version}
	for {
		version, err := r.s.config.Rows.Apply(ctx, model.Change{
			Expected: []model.StoredRow{expected, r.s.duty.row()}, Writes: []model.StoredRow{row},
		})
		if err == nil {
			return version, nil
		}
		if !errors.Is(err, model.ErrUncertain) && !errors.Is(err, model.ErrAway) {
			return 0, err
		}
		if found, ok := r.readBack(ctx, next); ok {
			return found, nil
		}
		if !retry.Sleep(ctx, 4*stepPause) {
			return 0, err
		}
	}
}

func (r *replacement) readBack(ctx context.Context, want world.Lead) (int64, bool) {
	page, err := r.s.config.Rows.Rows(ctx, world.Table)
	if err != nil {
		return 0, false
	}
	found, known, err := world.FindLead(r.group, page.Rows)
	if err != nil || !known || found.Version == r.lead.Version || found.Primary != want.Primary || found.Term != want.Term {
		return 0, false
	}
	same := (found.Next == nil && want.Next == nil) || (found.Next != nil && want.Next != nil && *found.Next == *want.Next)
	return found.Version, same
}

// stopUse asks every VM to stop using the old primary; unless it leaves by plan, the replicas are stopped meanwhile, since the
// leases of VMs that do not confirm begin to run out only then.
func (r *replacement) stopUse(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { r.release(ctx) })
	if !r.planned {
		wait.Go(func() { r.pause(clock.Now()) })
		wait.Go(func() { r.answering = r.oldKnown && !r.stuck && r.answers() })
	} else {
		r.answering = r.oldKnown
	}
	wait.Wait()
}

// release asks every VM to stop using the old primary.
func (r *replacement) release(ctx context.Context) {
	settle := time.Duration(0)
	if r.planned {
		settle = settleTime
	}
	request := peers.ReleaseRequest{Group: r.group, Version: r.lead.Version, Settle: settle}
	ctx, cancel := context.WithTimeout(ctx, settle+releaseTimeout)
	defer cancel()
	var missing []world.VM
	for _, vm := range r.s.config.World.State().Others(r.s.config.Self) {
		if _, done := r.releases[vm.Name]; !done {
			missing = append(missing, vm)
		}
	}
	own := make(chan elect.Release, 1)
	go func() { own <- r.s.config.Local.Release(request) }()
	for _, release := range r.s.config.Client.Releases(ctx, missing, request) {
		r.releases[release.VM] = release
	}
	release := <-own
	release.VM = r.s.config.Self
	r.releases[release.VM] = release
}

// released tells whether every registered VM confirmed.
func (r *replacement) released() bool {
	for name := range r.s.config.World.State().VMs {
		if _, done := r.releases[name]; !done {
			return false
		}
	}
	return true
}

// expired tells whether every lease on the old primary is over, confirmed or not.
func (r *replacement) expired(now time.Time) bool {
	if r.released() {
		return true
	}
	since := r.announcedAt
	if r.pausedAt.After(since) {
		since = r.pausedAt
	}
	return !r.pausedAt.IsZero() && now.Sub(since) >= r.s.config.LeaseBound+feedSlack
}

// choose waits until a replica can take over without losing an acknowledged commit.
//
// A primary that still answers is demoted first, and a replica that has its whole log takes over. Otherwise all replicas are
// stopped and compared. Either way every lease on the old primary must be over.
func (r *replacement) choose(ctx context.Context) (model.Instance, error) {
	target, handedOver, err := r.handOver(ctx)
	if err != nil {
		return model.Instance{}, err
	}
	for askedAt := r.announcedAt; ; {
		now := clock.Now()
		if handedOver && r.released() {
			return target, nil
		}
		r.pause(now)
		if r.expired(now) && r.stillStopped() {
			if handedOver {
				return target, nil
			}
			if chosen, ok := r.compare(now); ok {
				return chosen, nil
			}
		}
		if r.mayKeep(now) {
			return model.Instance{}, errKept
		}
		if !r.released() && now.Sub(askedAt) >= askPause {
			askedAt = now
			r.release(ctx)
		}
		if !retry.Sleep(ctx, stepPause) {
			return model.Instance{}, errors.New("no replica can take over yet")
		}
	}
}

// pause stops the replicas, once as many as answer and then those that are missing.
func (r *replacement) pause(now time.Time) {
	if !r.lookedAt.IsZero() && now.Sub(r.lookedAt) < askPause {
		return
	}
	if elect.AllStopped(r.replicas) && len(r.replicas) > 0 {
		return
	}
	r.lookedAt = now
	r.replicas = r.inspect(func(link model.Link, deadline time.Time) (model.InstanceState, error) {
		return link.Pause(deadline, r.lead.Next.Term)
	})
	if r.pausedAt.IsZero() && elect.AllStopped(r.replicas) {
		r.pausedAt = clock.Now()
	}
}

// stillStopped tells whether the replicas can be compared: with VMs that did not confirm, none may have restarted since it was
// stopped, which ends a pause. Otherwise the wait begins anew.
func (r *replacement) stillStopped() bool {
	r.replicas = elect.Kept(r.inspect(model.Link.Status), r.lead.Next.Term)
	if r.released() || elect.AllStopped(r.replicas) {
		return true
	}
	r.pausedAt, r.lookedAt = time.Time{}, time.Time{}
	return false
}

// compare returns the replica that has every acknowledged commit, if that is certain.
func (r *replacement) compare(now time.Time) (model.Instance, bool) {
	evidence := elect.Evidence{Replicas: r.replicas, AllReleased: r.released(), Departed: r.s.config.World.Departed(now, r.group)}
	for _, release := range r.releases {
		evidence.Releases = append(evidence.Releases, release)
	}
	chosen, ok := elect.Choose(evidence)
	r.s.config.Log.Info("replicas compared", "group", r.group, "chosen", chosen.Instance.Name, "safe", ok, "replicas", describe(r.replicas),
		"released", len(r.releases), "departed", evidence.Departed)
	return chosen.Instance, ok
}

// inspect runs an order on every replica at once; one that does not answer counts as not stopped.
func (r *replacement) inspect(run func(model.Link, time.Time) (model.InstanceState, error)) []elect.Replica {
	var mu sync.Mutex
	var wait sync.WaitGroup
	var replicas []elect.Replica
	for _, instance := range r.s.config.World.State().Group(r.group) {
		if instance.Name == r.lead.Primary {
			continue
		}
		wait.Go(func() {
			state, err := r.s.order(instance, run)
			mu.Lock()
			defer mu.Unlock()
			replicas = append(replicas, elect.Replica{Instance: instance, Stopped: err == nil, Held: state.Held, Received: state.Received})
		})
	}
	wait.Wait()
	return replicas
}

func describe(replicas []elect.Replica) []string {
	lines := make([]string, 0, len(replicas))
	for _, r := range replicas {
		line := string(r.Instance.Name) + " stopped=false"
		if r.Stopped {
			line = string(r.Instance.Name) + " at " + r.Received.String()
		}
		lines = append(lines, line)
	}
	return lines
}

// promote records the target and orders it to lead.
func (r *replacement) promote(ctx context.Context, target model.Instance) error {
	if err := r.renew(ctx); err != nil {
		return err
	}
	if !r.s.duty.mayOrder(clock.Now(), r.duty.Fence) {
		return errors.New("too little of the duty's time is left")
	}
	err := r.s.config.Promotions.Promote(ctx, model.PromoteOrder{Group: r.group, Target: target.Name, Holder: r.s.config.Self, Fence: r.duty.Fence})
	r.s.config.Log.Info("promotion ordered", "group", r.group, "instance", target.Name, "fence", r.duty.Fence, "error", err)
	if errors.Is(err, model.ErrUncertain) {
		return nil // The instance itself tells whether it leads.
	}
	return err
}

// renew makes sure that the duty lasts for an order.
func (r *replacement) renew(ctx context.Context) error {
	if r.s.duty.mayOrder(clock.Now(), r.duty.Fence) {
		return nil
	}
	held, err := r.s.duty.claim(ctx)
	if err != nil {
		return err
	}
	r.s.duty.leave()
	r.duty = held
	return nil
}

// awaitLead waits until the target says that it leads, and returns its term.
func (r *replacement) awaitLead(ctx context.Context, target model.Instance) (model.Term, error) {
	until := clock.Now().Add(leadTime)
	for clock.Now().Before(until) {
		state, err := r.s.status(target)
		if err == nil && state.Role == model.RolePrimary && state.Term >= r.lead.Next.Term {
			return state.Term, nil
		}
		if !retry.Sleep(ctx, stepPause) {
			break
		}
	}
	return 0, errors.Newf("instance %s does not lead yet", target.Name)
}

// settle names the new primary and tells the old one.
func (r *replacement) settle(ctx context.Context, target model.Instance, term model.Term) error {
	if err := r.renew(ctx); err != nil {
		return err
	}
	version, err := r.write(ctx, world.Lead{Group: r.group, Term: term, Primary: target.Name})
	r.s.config.Log.Info("primary replaced", "group", r.group, "old", r.lead.Primary, "new", target.Name, "term", term,
		"after", clock.Now().Sub(r.announcedAt).Round(time.Millisecond), "row", version, "error", err)
	if err != nil {
		return err
	}
	r.removeSilent(ctx)
	if !r.oldKnown {
		return nil
	}
	if _, err := r.demote(); err != nil {
		r.s.config.Log.Info("old primary not told; it finds out by itself", "instance", r.old.Name, "error", err)
	}
	return nil
}

// removeSilent deletes the rows of VMs that did not confirm, so that the next replacement does not wait for them; a VM that lives
// registers again and uses no primary before.
func (r *replacement) removeSilent(ctx context.Context) {
	for name, vm := range r.s.config.World.State().VMs {
		if _, done := r.releases[name]; done {
			continue
		}
		row, err := vm.Row()
		if err == nil {
			_, err = r.s.config.Rows.Apply(ctx, model.Change{Expected: []model.StoredRow{row}, Deletes: []model.StoredRow{row}})
		}
		r.s.config.Log.Info("silent VM removed from the table", "vm", name, "row", vm.Version, "error", err)
	}
}
