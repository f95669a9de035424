package orders

import (
	"context"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/peers"
	"github.com/crocusshore/crocusshore/world"
)

// revokeLeases asks every VM to stop using the old primary; unless it leaves by plan, the replicas are stopped meanwhile, since the
// leases of VMs that do not confirm begin to run out only then.
func (r *replacement) revokeLeases(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { r.release(ctx) })
	if !r.planned {
		wait.Go(func() { r.pause(clock.Now()) })
		wait.Go(func() { r.answered = r.oldKnown && !r.stuck && r.answers() })
	} else {
		r.answered = r.oldKnown
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
	ctx, cancel := context.WithTimeout(ctx, settle+r.s.allVMs(releaseTimeout))
	defer cancel()
	var missing []world.VM
	for _, vm := range r.s.config.World.Snapshot().Others(r.s.config.Self) {
		if _, done := r.releases[vm.Name]; !done {
			missing = append(missing, vm)
		}
	}
	own := make(chan elect.Release, 1)
	go func() { own <- r.s.config.Local.Release(request) }()
	for _, release := range r.s.config.Client.RequestReleases(ctx, missing, request) {
		r.releases[release.VM] = release
	}
	release := <-own
	release.VM = r.s.config.Self
	r.releases[release.VM] = release
}

// released tells whether every registered VM confirmed.
func (r *replacement) released() bool {
	for name := range r.s.config.World.Snapshot().VMs {
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
	return !r.pausedAt.IsZero() && now.Sub(since) >= r.s.config.LeaseTTL+feedDelay
}
