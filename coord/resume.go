package coord

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/state"
)

// resumeReplicas ends the pauses of the replicas. The order has no term and would end the pause of a later replacement as well, so it is
// recorded like a promotion, and counts as under way until every replica that was sent one has answered.
func (r *replacement) resumeReplicas(ctx context.Context) error {
	recorded, err := r.s.lease.recordOrder(ctx, r.lease.Fence, state.SentOrder{Group: r.group, Kind: state.OrderResume})
	if err != nil {
		return errors.Wrap(err, "resuming the replicas")
	}
	var unanswered atomic.Int64
	r.callReplicas(func(conn model.InstanceConn, deadline time.Time) (model.InstanceState, error) {
		if !clock.Now().Before(recorded.sendBy) {
			return model.InstanceState{}, errors.Wrap(model.ErrNotSent, "too little time is left of the coordinator lease")
		}
		state, err := conn.Resume(deadline)
		if _, refused := model.Refused(err); err != nil && !refused {
			unanswered.Add(1)
		}
		return state, err
	})
	r.s.config.Log.Info("replicas resumed", "group", r.group, "fence", r.lease.Fence, "order", recorded.number, "unanswered", unanswered.Load())
	if unanswered.Load() == 0 {
		r.s.lease.settle(recorded)
		r.s.lease.removeSettled(ctx)
		return nil
	}
	go r.s.lease.settleLater(recorded)
	return nil
}
