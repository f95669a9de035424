package orders

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/world"
)

// keepAfter is how long a replacement may go on without a replica that can take over, before a primary that answers again is kept.
const keepAfter = 2500 * time.Millisecond

// errKept reports that the old primary leads on.
var errKept = errors.New("the old primary is kept")

// mayKeep tells whether the old primary answers and leads on, so that the replacement can be called off.
func (r *replacement) mayKeep(now time.Time) bool {
	if !r.newIntent || !r.oldKnown || r.planned || now.Sub(r.announcedAt) < keepAfter {
		return false
	}
	return r.answers()
}

// keep lets the replicas receive again and takes the announcement back.
func (r *replacement) keep(ctx context.Context) error {
	r.inspect(model.InstanceConn.Resume)
	version, err := r.write(ctx, world.PrimaryRecord{Group: r.group, Term: r.lead.Term, Primary: r.old.Name})
	r.s.config.Log.Info("primary kept", "group", r.group, "instance", r.old.Name, "term", r.lead.Term, "row", version, "error", err)
	return err
}

// leading returns the instance that leads the announced term already, because an earlier order took effect.
func (r *replacement) leading() (model.Instance, model.Term, bool) {
	if r.newIntent {
		return model.Instance{}, 0, false
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	var leader model.Instance
	var term model.Term
	for _, instance := range r.s.config.World.Snapshot().GroupInstances(r.group) {
		wait.Go(func() {
			state, err := r.s.status(instance)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && state.Role == model.RolePrimary && state.Term >= r.lead.Next.Term && state.Term > term {
				leader, term = instance, state.Term
			}
		})
	}
	wait.Wait()
	r.s.config.Log.Info("replacement resumed", "group", r.group, "leads", leader.Name, "term", term, "at", clock.Now().Sub(r.announcedAt))
	return leader, term, term > 0
}
