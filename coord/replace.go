package coord

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/state"
)

const (
	// maxInFlightWait bounds the wait of a VM for pending answers from a primary that still serves.
	maxInFlightWait = 250 * time.Millisecond
	// releaseTimeout bounds the requests to all VMs to stop using a primary, on top of maxInFlightWait and timeoutPerVM.
	releaseTimeout = 300 * time.Millisecond
	// timeoutPerVM is added, for each VM that is asked, to the timeout of requests to other VMs. Small VMs need this time to send and answer the
	// requests.
	timeoutPerVM = 4 * time.Millisecond
	// feedDelay is added to Config.LeaseTTL, since the store's feed may deliver the announcement late.
	feedDelay = 1000 * time.Millisecond
	// pollInterval is the pause between two checks of the instances.
	pollInterval = 25 * time.Millisecond
	// replaceTimeout bounds one run of a replacement; an unfinished one is resumed by a later run.
	replaceTimeout = 15 * time.Second
	// retryInterval is the pause between two requests to VMs or replicas that did not answer.
	retryInterval = 200 * time.Millisecond
	// askAgainInterval is the pause between two requests to VMs that confirmed while statements were unanswered; in this time most statements are
	// answered or given up.
	askAgainInterval = time.Second
	// promotionTimeout bounds the wait until an instance reports that it was promoted.
	promotionTimeout = 2500 * time.Millisecond
)

// replacementBuckets are the buckets of the histogram of replacement durations.
var replacementBuckets = tally.DurationBuckets{
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 12 * time.Second,
}

// replacement is one run of the replacement of a primary.
type replacement struct {
	s     *Supervisor
	group model.GroupName
	// old is the old primary. If the old primary registered again with its log under another name, old is that registration. It is
	// valid if oldKnown is set.
	old      model.Instance
	oldKnown bool
	record   state.PrimaryRecord
	lease    state.CoordinatorLease
	planned  bool
	// newIntent reports that no promotion can have been ordered for this intent before this run.
	newIntent bool
	// searched reports that this run has looked for an instance that was promoted already.
	searched bool
	// stuck reports that the old primary answers but cannot commit.
	stuck bool
	// announcedAt is when the intent was known to be in the store, and pausedAt when all replicas were known to be paused, or zero.
	announcedAt time.Time
	pausedAt    time.Time
	// startsSettled reports that the replicas that are still paused are registered with their present start.
	startsSettled bool
	releases      map[model.VMID]elect.Release
	// answered reports whether the old primary answered when its replacement was announced.
	answered bool
	// handedOver reports that the old primary was demoted by this run, and final is the end of its log as last observed.
	handedOver bool
	final      model.Mark
	// demoteOrdered reports that this run has ordered DEMOTE, whether it was answered or not.
	demoteOrdered bool
	// replicas are the replicas as last observed, and pauseTriedAt is when the last attempt to pause them began.
	replicas     []elect.Replica
	pauseTriedAt time.Time
	// keepTriedAt is when the run last checked whether the old primary can be kept.
	keepTriedAt time.Time
	// comparedAt is when the replicas were last compared, compared are those that were, and lastComparison describes the result as it was logged.
	comparedAt     time.Time
	compared       []elect.Replica
	lastComparison string
}

// replace replaces the primary of a group. If the primary is only suspected, it asks other VMs for their opinions first. It does nothing
// if the verdict is to keep the primary.
func (s *Supervisor) replace(ctx context.Context, group model.GroupName, cause elect.Cause) error {
	ctx, cancel := context.WithTimeout(ctx, replaceTimeout)
	defer cancel()
	old, record, registered := s.config.Cache.Snapshot().Primary(group)
	stuck := false
	if cause == elect.CauseSuspected {
		verdict := s.decideFromOpinions(ctx, group)
		if verdict == elect.VerdictKeep {
			return nil
		}
		stuck = verdict == elect.VerdictStuck
	}
	lease, err := s.claimLease(ctx)
	if err != nil {
		return err
	}
	defer s.lease.giveUp(context.WithoutCancel(ctx))
	r := &replacement{
		s: s, group: group, old: old, oldKnown: registered, record: record, lease: lease,
		planned: cause == elect.CausePlanned, stuck: stuck, releases: map[model.VMID]elect.Release{},
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

func (r *replacement) run(ctx context.Context) error {
	if err := r.announce(ctx); err != nil {
		return errors.Wrap(err, "announcing the replacement")
	}
	r.revokeLeases(ctx)
	target, term, err := r.awaitOrders(ctx)
	if err != nil {
		return err
	}
	if term == 0 {
		target, term, _ = r.findPromoted()
	}
	if term > 0 {
		return r.completePromoted(ctx, target, term)
	}
	target, err = r.choose(ctx)
	if errors.Is(err, errKept) {
		return r.keep(ctx)
	}
	if errors.Is(err, errPromoted) {
		promoted, _ := elect.FindPromoted(r.replicas, r.record.Next.Term)
		return r.completePromoted(ctx, promoted.Instance, promoted.Leads)
	}
	if err != nil {
		return err
	}
	term, err = r.promote(ctx, target)
	if err != nil {
		return err
	}
	return r.complete(ctx, target, term)
}
