package coord

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/state"
)

// keepAfter is how long a replacement waits for a replica that can take over before it keeps a primary that answers again.
const keepAfter = 2500 * time.Millisecond

// errKept reports that the old primary stays the primary.
var errKept = errors.New("the old primary is kept")

// mayKeep reports whether the replacement can be cancelled because the old primary answers as the primary of its term, and no other instance may have
// been promoted. A primary may fail to answer at the announcement for a short time, for example because it accepts no more connections after a
// start of all VMs. If it were not kept, its group would have no primary until a replica certainly holds every commit, which may never be the case.
func (r *replacement) mayKeep(now time.Time) bool {
	if !r.oldKnown || r.planned || now.Sub(r.announcedAt) < keepAfter || now.Sub(r.keepTriedAt) < retryInterval {
		return false
	}
	r.keepTriedAt = now
	return r.answersAsPrimary() && !r.mayBeReplaced()
}

// keep resumes the replicas and withdraws the announcement.
func (r *replacement) keep(ctx context.Context) error {
	if err := r.resumeReplicas(ctx); err != nil {
		return err
	}
	version, err := r.writeRecord(ctx, state.PrimaryRecord{
		Group: r.group, Term: r.record.Term, Primary: r.old.Name, Replicas: without(r.record.Replicas, r.old.Name),
	})
	r.s.config.Log.Info("primary kept", "group", r.group, "instance", r.old.Name, "term", r.record.Term, "row-version", version, "error", err)
	return err
}

// findPromoted returns the instance that is already the primary of the announced term or a later one, because an earlier order took effect.
func (r *replacement) findPromoted() (model.Instance, model.Term, bool) {
	if r.newIntent {
		return model.Instance{}, 0, false
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	var promoted model.Instance
	var term model.Term
	for _, instance := range r.s.config.Cache.Snapshot().GroupInstances(r.group) {
		wait.Go(func() {
			reported, err := r.s.status(instance)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && reported.Role == model.RolePrimary && reported.Term >= r.record.Next.Term && reported.Term > term {
				promoted, term = instance, reported.Term
			}
		})
	}
	wait.Wait()
	if term > 0 || !r.searched {
		r.s.config.Log.Info("replacement resumed", "group", r.group, "instance", promoted.Name, "term", term, "after", clock.Now().Sub(r.announcedAt))
	}
	r.searched = true
	return promoted, term, term > 0
}
