package coord

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/evac"
	"github.com/crocusshore/crocusshore/fleet"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/peers"
	"github.com/crocusshore/crocusshore/place"
	"github.com/crocusshore/crocusshore/retry"
	"github.com/crocusshore/crocusshore/serve"
	"github.com/crocusshore/crocusshore/state"
	"github.com/crocusshore/crocusshore/watch"
)

const (
	// assessInterval is the pause between two assessments of the primaries.
	assessInterval = 60 * time.Millisecond
	// retryDelay is the pause between two replacement runs for a group.
	retryDelay = 700 * time.Millisecond
	// coordinatorRankKey is the key under which the readers of the failure domains are ranked to act on primaries.
	coordinatorRankKey = "coordinator"
)

type (
	// Config holds the dependencies and settings of a supervisor.
	Config struct {
		Self       model.VMID
		Domain     model.Domain
		Boot       model.BootID
		Cache      *state.Cache
		Rankings   *state.Rankings
		Tracker    *place.Tracker
		Server     *serve.Server
		Client     *peers.Client
		Responder  peers.Responder
		Dialer     model.Dialer
		Rows       model.RowStore
		Promotions model.Promotions
		// LeaseTTL bounds how long VMs that did not confirm may continue to use the old primary.
		LeaseTTL time.Duration
		Log      *log.Logger
		Metrics  tally.Scope
	}

	// Supervisor monitors the primaries and replaces those that are leaving or have failed.
	Supervisor struct {
		config Config
		lease  *coordinatorLease

		// openingEra is set while this VM claims the coordinator lease for the first time in an era of the store.
		openingEra atomic.Bool

		mu     sync.Mutex
		groups map[model.GroupName]*groupState
	}

	// groupState is the state that the supervisor keeps of a group.
	groupState struct {
		// cause is the latest assessment, and since is when it last changed.
		cause elect.Cause
		since time.Time
		// busy is set while a run is in progress, and notBefore is when the next one may start.
		busy      bool
		notBefore time.Time
		// intentVersion is the version of the row with the last observed intent, and intentObservedAt is when that row was first observed.
		intentVersion    int64
		intentObservedAt time.Time
		// notLeadingSince is since when the primary has been registered as a replica, or zero.
		notLeadingSince time.Time
		// compared is the snapshot in which the recorded replicas were last compared with the registered ones, and changes the result.
		compared *state.Snapshot
		changes  elect.ReplicaChanges
		// evacuationAttempts counts the replacements of the primary that were announced because its failure domain is evacuated.
		evacuationAttempts evac.Attempts
		// dropNotBefore is when the next attempt to drop replicas may start.
		dropNotBefore time.Time
	}
)

// New returns a supervisor.
func New(config Config) *Supervisor {
	return &Supervisor{
		config: config,
		lease:  &coordinatorLease{self: config.Self, boot: config.Boot, rows: config.Rows, cache: config.Cache, log: config.Log},
		groups: map[model.GroupName]*groupState{},
	}
}

// Run assesses the primaries, and replaces them if necessary, until the context ends.
func (s *Supervisor) Run(ctx context.Context) {
	for retry.Sleep(ctx, assessInterval) {
		now := clock.Now()
		s.lease.observe(now)
		if s.mustOpenEra(now) && s.openingEra.CompareAndSwap(false, true) {
			go s.openEra(ctx)
		}
		for _, group := range s.config.Cache.Snapshot().Groups() {
			s.assess(ctx, now, group)
		}
	}
}

func (s *Supervisor) assess(ctx context.Context, now time.Time, group model.GroupName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[group]
	if g == nil {
		g = &groupState{cause: elect.CauseNone}
		s.groups[group] = g
	}
	cause := elect.Assess(now, s.primaryState(now, group, g))
	if cause != g.cause {
		g.cause, g.since = cause, now
		s.config.Log.Info("primary assessed", "group", group, "cause", cause)
	}
	if cause == elect.CauseNone || g.busy || now.Before(g.notBefore) || now.Sub(g.since) < s.startDelay(now) || !s.isRegistered() {
		return
	}
	g.busy = true
	go func() {
		err := s.resolve(ctx, group, cause)
		s.mu.Lock()
		defer s.mu.Unlock()
		g.busy, g.notBefore = false, clock.Now().Add(retryDelay)
		switch {
		case err != nil && cause == elect.CauseReplicas:
			g.dropNotBefore = clock.Now().Add(dropRetryDelay)
		case err != nil && cause == elect.CauseConfirm:
			g.notBefore = clock.Now().Add(confirmRetryDelay)
		}
	}()
}

// isRegistered reports whether this process has registered its VM. Before that, a late registration of an earlier process could make the
// coordinator lease of this one look like that of a process that has ended.
func (s *Supervisor) isRegistered() bool {
	return s.config.Cache.Snapshot().VMs[s.config.Self].Boot == s.config.Boot
}

// primaryState collects what this VM has observed of the primary of a group.
func (s *Supervisor) primaryState(now time.Time, group model.GroupName, g *groupState) elect.PrimaryState {
	snapshot := s.config.Cache.Snapshot()
	primary, record, registered := snapshot.Primary(group)
	_, unconfirmed := snapshot.Unconfirmed[group]
	observed := elect.PrimaryState{
		Unconfirmed: unconfirmed, ConfirmDue: unconfirmed && s.confirmDue(now), Recorded: record.Version > 0, Registered: registered, AbsenceSettled: s.config.Cache.AbsenceSettled(now), Leaving: primary.Leaving,
	}
	observed.NotLeadingSince = g.observeRole(now, registered && record.Next == nil && primary.Role == model.RoleReplica)
	if registered && len(snapshot.Evacuated) > 0 {
		observed.Evacuated = g.observeEvacuation(now, snapshot, primary, record)
	}
	if record.Next != nil {
		if g.intentVersion != record.Version {
			g.intentVersion, g.intentObservedAt = record.Version, now
		}
		observed.Announced, observed.AnnouncedSince = true, g.intentObservedAt
		observed.OwnAnnouncement = record.Next.Holder == s.config.Self && !g.busy
		observed.Abandoned = isAbandoned(snapshot, *record.Next) && !g.busy
	}
	if registered {
		health := s.config.Tracker.Health(now, primary.Name)
		observed.FailingSince, observed.Failures = health.FailingSince, health.Failures
		observed.StuckSince = s.config.Server.CommitStatus(now, group).StuckSince
		observed.ReplicasOutdated = s.replicasOutdated(now, group, g, snapshot)
	}
	return observed
}

// observeRole records whether the primary is registered as a replica now, and returns since when it has been, or zero.
func (g *groupState) observeRole(now time.Time, replica bool) time.Time {
	switch {
	case !replica:
		g.notLeadingSince = time.Time{}
	case g.notLeadingSince.IsZero():
		g.notLeadingSince = now
	}
	return g.notLeadingSince
}

// isAbandoned reports whether the coordinator lease under which a replacement was announced has ended: it was claimed anew or given up,
// or the process that holds it has ended.
func isAbandoned(snapshot *state.Snapshot, intent state.Intent) bool {
	lease := snapshot.Coordinator
	return lease.Fence > intent.Fence || (lease.Fence == intent.Fence && (lease.Released || holderEnded(snapshot, lease)))
}

// startDelay returns how long this VM leaves the primaries to the VMs that act before it.
func (s *Supervisor) startDelay(now time.Time) time.Duration {
	if s.lease.holds(now) {
		return 0 // No other VM can act.
	}
	return elect.StartDelay(s.turn(now))
}

// turn returns the place of this VM among those that act on primaries. It is the same for all groups, so that one VM replaces all primaries
// that fail together, under one coordinator lease.
func (s *Supervisor) turn(now time.Time) elect.Turn {
	var readers []model.VM
	for _, domain := range s.config.Rankings.Domains(now) {
		if ranked := s.config.Rankings.Of(now, domain, watch.ReaderRankKey); len(ranked) > 0 {
			readers = append(readers, model.VM{ID: ranked[0].Name})
		}
	}
	turn := elect.Turn{Reader: -1, Spread: spread(s.config.Self)}
	if rank, isReader := fleet.Index(s.config.Self, fleet.Rank(coordinatorRankKey, readers)); isReader {
		turn.Reader = rank
	}
	return turn
}

// spread returns a number from 0 to 1 derived from the name of a VM.
func spread(name model.VMID) float64 {
	return float64(xxhash.Sum64String(string(name))) / math.MaxUint64
}

// resolve records or replaces the primary of a group, or changes its record.
func (s *Supervisor) resolve(ctx context.Context, group model.GroupName, cause elect.Cause) error {
	var err error
	switch cause {
	case elect.CauseRecord:
		err = s.recordPrimary(ctx, group)
	case elect.CauseConfirm:
		err = s.confirmPrimary(ctx, group)
	case elect.CauseReplicas:
		err = s.recordReplicas(ctx, group)
	default:
		err = s.replace(ctx, group, cause)
	}
	if err != nil {
		s.config.Log.Warn("primary not recorded or replaced, or its record not changed", "group", group, "cause", cause, "error", err)
	}
	return err
}
