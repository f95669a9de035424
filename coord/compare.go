package coord

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/retry"
	"github.com/crocusshore/crocusshore/state"
)

// choose waits until a replica can take over without losing an acknowledged commit.
//
// A primary that still answers is demoted first, and a replica that has its full log takes over. Otherwise all replicas are
// paused and compared. In both cases every lease on the old primary must have ended. choose returns errKept if the old primary stays the
// primary. It returns errReturned if the old primary is back, so that the next run has to hand over from it, and errSuperseded if the record was
// changed by another VM, whose decisions this one must not undo. It returns errPromoted and the instance if one of those compared leads already.
func (r *replacement) choose(ctx context.Context) (model.Instance, error) {
	if err := r.handOver(ctx); err != nil {
		return model.Instance{}, err
	}
	for askedAt, askedAgainAt := r.announcedAt, r.announcedAt; ; {
		now := clock.Now()
		if r.superseded() {
			return model.Instance{}, errSuperseded
		}
		chosen, ok := r.seekTarget(now)
		if promoted, found := elect.FindPromoted(r.replicas, r.record.Next.Term); found {
			return promoted.Instance, errPromoted
		}
		if ok {
			return chosen, nil
		}
		if r.mayKeep(now) {
			return model.Instance{}, errKept
		}
		if now.Sub(askedAt) >= retryInterval {
			askedAt = now
			if !r.oldRegistered() && r.findReturned() {
				return model.Instance{}, errReturned
			}
			again := now.Sub(askedAgainAt) >= askAgainInterval && !r.allComplete()
			if again {
				askedAgainAt = now
			}
			if again || !r.allReleased() {
				r.requestReleases(ctx, again)
			}
		}
		if !retry.Sleep(ctx, pollInterval) {
			return model.Instance{}, errors.New("no replica can take over yet")
		}
	}
}

// seekTarget returns the instance to promote, if the leases on the old primary have ended, no order can be under way that promotes another one, and an
// instance can take over.
func (r *replacement) seekTarget(now time.Time) (model.Instance, bool) {
	if r.s.lease.isKindPending(r.group, state.OrderPromote) {
		return model.Instance{}, false
	}
	if r.handedOver && r.allReleased() {
		if target, ok := r.handOverTarget(); ok {
			return target, true
		}
	}
	r.pause(now)
	if !r.mayCompare(now) {
		return model.Instance{}, false
	}
	if r.handedOver {
		if target, ok := r.handOverTarget(); ok {
			return target, true
		}
	}
	return r.compare(now)
}

// pause pauses the replicas; while some do not answer, it tries again after retryInterval.
func (r *replacement) pause(now time.Time) {
	if !r.pauseTriedAt.IsZero() && now.Sub(r.pauseTriedAt) < retryInterval {
		return
	}
	if elect.AllPaused(r.replicas) && len(r.replicas) > 0 {
		return
	}
	r.pauseTriedAt = now
	r.replicas = r.callReplicas(func(conn model.InstanceConn, deadline time.Time) (model.InstanceState, error) {
		return conn.Pause(deadline, r.record.Next.Term)
	})
	if r.pausedAt.IsZero() && elect.AllPaused(r.replicas) {
		r.pausedAt = clock.Now()
	}
}

// recheckPause asks the replicas for their status and reports whether they can be compared: every VM confirmed, or all replicas are still
// paused. A restart ends the pause of a replica. The waits for the leases and for the registrations then start again.
func (r *replacement) recheckPause() bool {
	// The registrations that callReplicas uses have to be at least as new as those that settle the starts.
	r.startsSettled = !r.pausedAt.IsZero() && r.s.config.Cache.StartsSettled(r.pausedAt)
	r.replicas = elect.RecheckPaused(r.callReplicas(model.InstanceConn.Status), r.record.Next.Term)
	if elect.AllPaused(r.replicas) {
		return true
	}
	r.pausedAt, r.pauseTriedAt = time.Time{}, time.Time{}
	return r.allReleased()
}

// mayCompare reports whether the leases on the old primary have ended, nothing that would end a pause can be under way, and the replicas can be
// compared. A comparison without a result is repeated after retryInterval.
func (r *replacement) mayCompare(now time.Time) bool {
	return now.Sub(r.comparedAt) >= retryInterval && r.leasesEnded(now) && !r.s.lease.isPending(r.group) && r.recheckPause()
}

// compare returns a replica that has every acknowledged commit, and whether there certainly is one.
func (r *replacement) compare(now time.Time) (model.Instance, bool) {
	r.comparedAt = now
	evidence := elect.Evidence{
		Replicas: r.replicas, AllReleased: r.allReleased() && !r.s.config.Cache.VMRemovedRecently(now),
		Recorded: r.record.Replicas, StartsSettled: r.startsSettled,
	}
	for _, release := range r.releases {
		evidence.Releases = append(evidence.Releases, release)
	}
	if r.record.Next.Final != nil {
		evidence.Final = *r.record.Next.Final
	}
	chosen, ok := elect.Choose(evidence)
	if demoted, found := r.findDemoted(!ok); found {
		evidence.Replicas, evidence.Final = append(slices.Clone(r.replicas), demoted), demoted.Received
		chosen, ok = elect.Choose(evidence)
		if ok && chosen.Instance.Name == r.old.Name {
			r.handedOver, r.final = true, evidence.Final
		}
	}
	r.compared = evidence.Replicas
	r.logComparison(evidence, chosen.Instance, ok)
	return chosen.Instance, ok
}

// logComparison logs a comparison, unless it is like the one before.
func (r *replacement) logComparison(evidence elect.Evidence, chosen model.Instance, safe bool) {
	replicas := describe(evidence.Replicas)
	described := fmt.Sprint(safe, replicas, len(r.releases), evidence.AllReleased, evidence.StartsSettled, evidence.Final)
	if described == r.lastComparison {
		return
	}
	r.lastComparison = described
	r.s.config.Log.Info("replicas compared", "group", r.group, "chosen", chosen.Name, "safe", safe, "replicas", replicas,
		"recorded", names(r.record.Replicas), "released", len(r.releases), "all-released", evidence.AllReleased,
		"starts-settled", evidence.StartsSettled, "final", evidence.Final)
}

// errPromoted ends the search for a target, since an earlier order has promoted an instance.
var errPromoted = errors.New("an instance leads the announced term already")

// errSuperseded ends a run whose record was changed by another VM.
var errSuperseded = errors.New("another VM continues the replacement")

// superseded reports whether the record has changed since this run announced the replacement, or the store may have forgotten the announcement. The run may
// outlast its coordinator lease.
func (r *replacement) superseded() bool {
	snapshot := r.s.config.Cache.Snapshot()
	_, unconfirmed := snapshot.Unconfirmed[r.group]
	return unconfirmed || snapshot.Primaries[r.group].Version > r.record.Version
}

// callReplicas sends an order or a status request to all replicas in parallel and returns their answers. A replica that does not answer
// counts as not paused.
func (r *replacement) callReplicas(run func(model.InstanceConn, time.Time) (model.InstanceState, error)) []elect.Replica {
	var mu sync.Mutex
	var wait sync.WaitGroup
	var replicas []elect.Replica
	snapshot := r.s.config.Cache.Snapshot()
	evacuated := snapshot.Evacuated
	for _, instance := range snapshot.GroupInstances(r.group) {
		if instance.Name == r.record.Primary || (r.oldKnown && instance.Name == r.old.Name) {
			continue
		}
		wait.Go(func() {
			reported, err := r.s.callInstance(instance, run)
			mu.Lock()
			defer mu.Unlock()
			replica := replicaOf(instance, reported, err)
			replica.Evacuated = !evacuated.MayStart(instance.Domain)
			replicas = append(replicas, replica)
		})
	}
	wait.Wait()
	sortBySpread(replicas, primariesByDomain(r.s.config.Cache.Snapshot(), r.group))
	return replicas
}

// replicaOf returns what the answer of an instance shows of it.
func replicaOf(instance model.Instance, reported model.InstanceState, err error) elect.Replica {
	replica := elect.Replica{Instance: instance, Paused: err == nil, PausedTerm: reported.Held, Received: reported.Received}
	if err == nil && reported.Role == model.RolePrimary {
		replica.Leads = reported.Term
	}
	return replica
}

// primariesByDomain counts the primaries of the other groups in each failure domain.
func primariesByDomain(snapshot *state.Snapshot, except model.GroupName) map[model.Domain]int {
	counts := map[model.Domain]int{}
	for group := range snapshot.Primaries {
		if primary, _, registered := snapshot.Primary(group); registered && group != except {
			counts[primary.Domain]++
		}
	}
	return counts
}

// sortBySpread sorts replicas so that those in failure domains with few primaries come first: of replicas that could all take over, the first
// is chosen, and the loss of a failure domain should not take most primaries with it.
func sortBySpread(replicas []elect.Replica, primaries map[model.Domain]int) {
	slices.SortFunc(replicas, func(a, b elect.Replica) int {
		if byCount := primaries[a.Instance.Domain] - primaries[b.Instance.Domain]; byCount != 0 {
			return byCount
		}
		return strings.Compare(string(a.Instance.Name), string(b.Instance.Name))
	})
}

func describe(replicas []elect.Replica) []string {
	lines := make([]string, 0, len(replicas))
	for _, r := range replicas {
		line := string(r.Instance.Name) + " paused=false"
		if r.Paused {
			line = string(r.Instance.Name) + " at " + r.Received.String()
		}
		lines = append(lines, line)
	}
	return lines
}
