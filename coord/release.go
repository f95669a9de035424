package coord

import (
	"context"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/peers"
	"github.com/crocusshore/crocusshore/state"
)

// revokeLeases asks every VM to stop using the old primary. Unless the replacement is planned, it also checks whether the old primary
// answers, and pauses the replicas at the same time: the lease of a VM that does not confirm is extended as long as a replica answers that
// it is not paused.
func (r *replacement) revokeLeases(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { r.requestReleases(ctx, false) })
	if !r.planned {
		wait.Go(func() { r.pause(clock.Now()) })
		wait.Go(func() { r.answered = r.oldKnown && !r.stuck && r.answersAsPrimary() })
	} else {
		wait.Go(func() { r.answered = r.oldKnown && !r.oldStartedAgain() })
	}
	wait.Wait()
}

// requestReleases asks this VM, and every other one that has not confirmed yet, to stop using the old primary. With again, it also asks those
// that confirmed while they did not know what had been acknowledged to them.
func (r *replacement) requestReleases(ctx context.Context, again bool) {
	inFlightWait := time.Duration(0)
	if r.planned {
		inFlightWait = maxInFlightWait
	}
	request := peers.ReleaseRequest{Group: r.group, Version: r.record.Version, Settle: inFlightWait}
	var missing []state.VM
	for _, vm := range r.s.config.Cache.Snapshot().Others(r.s.config.Self) {
		if release, done := r.releases[vm.Name]; !done || (again && !release.Complete) {
			missing = append(missing, vm)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, inFlightWait+timeoutFor(len(missing), releaseTimeout))
	defer cancel()
	own := make(chan elect.Release, 1)
	go func() { own <- r.s.config.Responder.Release(request) }()
	for _, release := range r.s.config.Client.RequestReleases(ctx, missing, request) {
		r.releases[release.VM] = release
	}
	release := <-own
	release.VM = r.s.config.Self
	r.releases[release.VM] = release
}

// allReleased reports whether every registered VM confirmed. A VM may use the old primary if it registered before the announcement, so this VM
// has to know all registrations until then.
func (r *replacement) allReleased() bool {
	if r.s.config.Cache.TableVersion() < r.record.Version {
		return false
	}
	for name := range r.s.config.Cache.Snapshot().VMs {
		if _, done := r.releases[name]; !done {
			return false
		}
	}
	return true
}

// allComplete reports whether every registered VM confirmed and knows what was acknowledged to it.
func (r *replacement) allComplete() bool {
	for name := range r.s.config.Cache.Snapshot().VMs {
		if !r.releases[name].Complete {
			return false
		}
	}
	return true
}

// leasesEnded reports whether every lease on the old primary has ended: every VM confirmed, or the leases have expired.
func (r *replacement) leasesEnded(now time.Time) bool {
	if r.allReleased() {
		return true
	}
	since := r.announcedAt
	if r.pausedAt.After(since) {
		since = r.pausedAt
	}
	return !r.pausedAt.IsZero() && now.Sub(since) >= r.s.config.LeaseTTL+feedDelay
}
