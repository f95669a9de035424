package orders

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/fleet"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/peers"
	"github.com/crocusshore/crocusshore/place"
	"github.com/crocusshore/crocusshore/retry"
	"github.com/crocusshore/crocusshore/serve"
	"github.com/crocusshore/crocusshore/world"
)

const (
	// assessInterval is how often the primaries are judged.
	assessInterval = 60 * time.Millisecond
	// rankDelay is how much longer each next VM waits before it acts, so that usually one does.
	rankDelay = 250 * time.Millisecond
	// retryDelay is the pause after a replacement that did not succeed.
	retryDelay = 700 * time.Millisecond
)

type (
	// Config names what a supervisor works with.
	Config struct {
		Self       model.VMID
		Boot       model.BootID
		World      *world.Cache
		Track      *place.Tracker
		Server     *serve.Server
		Client     *peers.Client
		Local      peers.Responder
		Dialer     model.Dialer
		Rows       model.RowStore
		Promotions model.Promotions
		// LeaseTTL is how long VMs that did not confirm may go on using the old primary.
		LeaseTTL time.Duration
		Log      *log.Logger
		Metrics  tally.Scope
	}

	// Supervisor watches the primaries and replaces those that leave or fail.
	Supervisor struct {
		config Config
		lease  *coordinatorLease

		mu     sync.Mutex
		groups map[model.GroupName]*groupState
	}

	// groupState is what the supervisor remembers of a group.
	groupState struct {
		need        elect.Cause
		since       time.Time
		busy        bool
		notBefore   time.Time
		announced   int64
		announcedAt time.Time
	}
)

// New returns a supervisor.
func New(config Config) *Supervisor {
	return &Supervisor{
		config: config,
		lease:  &coordinatorLease{self: config.Self, boot: config.Boot, rows: config.Rows, world: config.World, log: config.Log},
		groups: map[model.GroupName]*groupState{},
	}
}

// Run judges the primaries until the context ends.
func (s *Supervisor) Run(ctx context.Context) {
	for retry.Sleep(ctx, assessInterval) {
		now := clock.Now()
		s.lease.observe(now)
		for _, group := range s.config.World.Snapshot().Groups() {
			s.assess(ctx, now, group)
		}
	}
}

func (s *Supervisor) assess(ctx context.Context, now time.Time, group model.GroupName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.groups[group]
	if w == nil {
		w = &groupState{need: elect.CauseNone}
		s.groups[group] = w
	}
	need := elect.Assess(now, s.primaryState(now, group, w))
	if need != w.need {
		w.need, w.since = need, now
		s.config.Log.Info("primary judged", "group", group, "need", need)
	}
	if need == elect.CauseNone || w.busy || now.Before(w.notBefore) || now.Sub(w.since) < s.delay(group) {
		return
	}
	w.busy = true
	go func() {
		s.resolve(ctx, group, need)
		s.mu.Lock()
		defer s.mu.Unlock()
		w.busy, w.notBefore = false, clock.Now().Add(retryDelay)
	}()
}

// primaryState collects what this VM knows of the primary of a group.
func (s *Supervisor) primaryState(now time.Time, group model.GroupName, w *groupState) elect.PrimaryState {
	state := s.config.World.Snapshot()
	primary, lead, registered := state.Primary(group)
	signs := elect.PrimaryState{Recorded: lead.Version > 0, Registered: registered, Leaving: primary.Leaving}
	if lead.Next != nil {
		if w.announced != lead.Version {
			w.announced, w.announcedAt = lead.Version, now
		}
		signs.Announced, signs.AnnouncedSince = true, w.announcedAt
		signs.OwnAnnouncement = lead.Next.Holder == s.config.Self && !w.busy
		signs.Abandoned = abandoned(state, *lead.Next) && !w.busy
	}
	if registered {
		health := s.config.Track.Health(primary.Name)
		signs.FailingSince, signs.Failures = health.FailingSince, health.Failures
		signs.StuckSince = s.config.Server.CommitStatus(now, group).StuckSince
	}
	return signs
}

// abandoned tells whether the duty under which a replacement was announced is over: it was taken by another process or given back, or
// the process that holds it has ended.
func abandoned(state *world.Snapshot, intent world.Intent) bool {
	duty := state.Coordinator
	return duty.Fence > intent.Fence || (duty.Fence == intent.Fence && (duty.Released || holderEnded(state, duty)))
}

// delay is how long this VM leaves a group to the VMs that rank before it.
func (s *Supervisor) delay(group model.GroupName) time.Duration {
	if s.lease.holds(clock.Now()) {
		return 0 // Nobody else can act.
	}
	state := s.config.World.Snapshot()
	vms := make([]model.VM, 0, len(state.VMs))
	for name := range state.VMs {
		vms = append(vms, model.VM{ID: name})
	}
	rank, _ := fleet.Index(s.config.Self, fleet.Rank(string(group), vms))
	return time.Duration(rank)*rankDelay + jitter(string(s.config.Self))
}

// jitter spreads VMs that have no ranking yet.
func jitter(name string) time.Duration {
	const spread = 50
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // A hash never fails.
	return time.Duration(h.Sum32()%spread) * time.Millisecond
}

func (s *Supervisor) resolve(ctx context.Context, group model.GroupName, need elect.Cause) {
	var err error
	if need == elect.CauseAdopt {
		err = s.adopt(ctx, group)
	} else {
		err = s.replace(ctx, group, need)
	}
	if err != nil {
		s.config.Log.Warn("primary not settled", "group", group, "need", need, "error", err)
	}
}
