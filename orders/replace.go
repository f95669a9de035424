package orders

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/peers"
	"github.com/crocusshore/crocusshore/world"
)

const (
	// settleTime is how long answers of a primary that still serves are waited for.
	settleTime = 250 * time.Millisecond
	// releaseTimeout bounds the question to all VMs, on top of the settle time.
	releaseTimeout = 300 * time.Millisecond
	// timeoutPerVM is added to the bounds of questions to all VMs for each of them: small VMs need it to ask and to answer.
	timeoutPerVM = 4 * time.Millisecond
	// feedDelay is added to the lease bound for a feed that delivers the announcement late.
	feedDelay = 1000 * time.Millisecond
	// pollInterval is the pause between two looks at the replicas.
	pollInterval = 25 * time.Millisecond
	// replaceTimeout bounds a whole replacement; what is left over is resumed.
	replaceTimeout = 15 * time.Second
	// opinionTimeout bounds the question what others see of a primary.
	opinionTimeout = 400 * time.Millisecond
	// retryInterval is the pause between two questions to VMs or replicas that did not answer.
	retryInterval = 200 * time.Millisecond
	// promotionTimeout bounds the wait for a promoted instance to lead.
	promotionTimeout = 2500 * time.Millisecond
)

// replacementBuckets are the bounds of the histogram of replacements.
var replacementBuckets = tally.DurationBuckets{
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 12 * time.Second,
}

// replacement is one run towards a new primary.
type replacement struct {
	s     *Supervisor
	group model.GroupName
	// old is the old primary, under another name where it came back with its log.
	old      model.Instance
	oldKnown bool
	lead     world.PrimaryRecord
	lease    world.CoordinatorLease
	planned  bool
	// newIntent tells that nobody can have ordered a promotion for this intent before.
	newIntent bool
	// stuck tells that the old primary answers and cannot commit.
	stuck bool
	// announcedAt is when the intent was known to be in the store, and pausedAt when the replicas were stopped.
	announcedAt time.Time
	pausedAt    time.Time
	releases    map[model.VMID]elect.Release
	// answered tells that the old primary answered when it was announced that it is replaced.
	answered bool
	// replicas are the replicas as they were last seen, at lookedAt.
	replicas    []elect.Replica
	inspectedAt time.Time
}

// replace gives a group another primary, if that is confirmed to be needed.
func (s *Supervisor) replace(ctx context.Context, group model.GroupName, need elect.Cause) error {
	ctx, cancel := context.WithTimeout(ctx, replaceTimeout)
	defer cancel()
	old, lead, registered := s.config.World.Snapshot().Primary(group)
	stuck := false
	if need == elect.CauseSuspected {
		verdict := s.opinions(ctx, group)
		if verdict == elect.VerdictKeep {
			return nil
		}
		stuck = verdict == elect.VerdictStuck
	}
	held, err := s.lease.claim(ctx)
	if err != nil {
		return err
	}
	defer s.lease.release(context.WithoutCancel(ctx))
	r := &replacement{
		s: s, group: group, old: old, oldKnown: registered, lead: lead, lease: held,
		planned: need == elect.CausePlanned, stuck: stuck, releases: map[model.VMID]elect.Release{},
	}
	if !r.oldKnown {
		r.findReturned()
	}
	if r.planned {
		r.awaitNearlyCaughtUp(ctx)
	}
	startedAt := clock.Now()
	if err := r.run(ctx); err != nil {
		return err
	}
	s.config.Metrics.Histogram("replacement", replacementBuckets).RecordDuration(clock.Now().Sub(startedAt))
	return nil
}

// allVMs returns how long a question to all VMs may take.
func (s *Supervisor) allVMs(least time.Duration) time.Duration {
	return least + time.Duration(len(s.config.World.Snapshot().VMs))*timeoutPerVM
}

// opinions asks the other VMs whether the primary has to be replaced.
func (s *Supervisor) opinions(ctx context.Context, group model.GroupName) elect.Verdict {
	ctx, cancel := context.WithTimeout(ctx, s.allVMs(opinionTimeout))
	defer cancel()
	opinions := s.config.Client.RequestOpinions(ctx, s.config.World.Snapshot().Others(s.config.Self), group)
	opinions = append(opinions, s.config.Local.Opinion(peers.OpinionRequest{Group: group}))
	verdict := elect.Decide(opinions)
	s.config.Log.Info("opinions on a primary", "group", group, "verdict", verdict, "opinions", opinions)
	return verdict
}

func (r *replacement) run(ctx context.Context) error {
	if err := r.announce(ctx); err != nil {
		return errors.Wrap(err, "announcing the replacement")
	}
	r.revokeLeases(ctx)
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
