package bench

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/store"
)

const (
	naiveLeaseTTL      = 10 * time.Second
	naiveRenewInterval = 3 * time.Second
	naivePollInterval  = 500 * time.Millisecond
	naiveRow           = "naive/lease"
	naiveTimeout       = time.Second
)

type naiveLease struct {
	Holder  string
	Expires time.Time
}

// naiveFailover is the baseline for failover: a lease of 10 s on a row of the store, which another holder takes once it has expired.
type naiveFailover struct {
	gap chan time.Duration
}

// startNaive runs the baseline in the background, on the Fleet's platform. Its holder crashes at a random time between two renewals.
func startNaive(ctx context.Context, f *Fleet, seed uint64) *naiveFailover {
	n := &naiveFailover{gap: make(chan time.Duration, 1)}
	random := rand.New(rand.NewPCG(seed, 0))
	crashAfter := naiveRenewInterval + time.Duration(random.Float64()*float64(naiveRenewInterval))
	go func() { n.gap <- n.run(ctx, f, crashAfter) }()
	return n
}

// await returns the time from the crash of the first holder until the second one held the lease; 0 if it never did.
func (n *naiveFailover) await() time.Duration { return <-n.gap }

func (n *naiveFailover) run(ctx context.Context, f *Fleet, crashAfter time.Duration) time.Duration {
	client, err := store.New(store.Config{Address: f.platform.Address, Transport: f.transport})
	if err != nil {
		return 0
	}
	crashAt := time.Now().Add(crashAfter)
	for renewed := time.Now(); renewed.Before(crashAt); renewed = renewed.Add(naiveRenewInterval) {
		_ = naiveAcquire(ctx, client, "first", renewed)
		time.Sleep(min(naiveRenewInterval, time.Until(crashAt)))
	}
	for ctx.Err() == nil {
		if naiveAcquire(ctx, client, "second", time.Now()) == nil {
			return time.Since(crashAt)
		}
		time.Sleep(naivePollInterval)
	}
	return 0
}

var errLeaseHeld = errors.New("the lease is held")

// naiveAcquire takes or renews the lease. It returns errLeaseHeld while another holder's lease is valid.
func naiveAcquire(ctx context.Context, table model.Table, holder string, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, naiveTimeout)
	defer cancel()
	row, err := table.Get(ctx, naiveRow)
	if err != nil {
		return err
	}
	var current naiveLease
	if row.Revision != 0 {
		if err := json.Unmarshal(row.Value, &current); err != nil {
			return err
		}
	}
	if current.Holder != holder && now.Before(current.Expires) {
		return errLeaseHeld
	}
	body, err := json.Marshal(naiveLease{Holder: holder, Expires: now.Add(naiveLeaseTTL)})
	if err != nil {
		return err
	}
	return table.Commit(ctx, model.Commit{
		Conditions: []model.Condition{{Key: naiveRow, Revision: row.Revision}},
		Writes:     []model.Write{{Key: naiveRow, Value: body}},
	})
}
