package serve

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/retry"
	"github.com/crocusshore/crocusshore/sample"
	"github.com/crocusshore/crocusshore/tree"
	"github.com/crocusshore/crocusshore/world"
)

const (
	// refreshPause is how often the samples are judged.
	refreshPause = 100 * time.Millisecond
	// readerShare of the shortest allowed age may pass before the reader of a failure domain takes a new sample, and refreshShare
	// before any other VM does, which gets samples from the reader.
	readerShare  = 0.4
	refreshShare = 0.85
	// demandTime is how long after its last read a group is still sampled.
	demandTime = 2 * time.Second
	// sampleTimeout bounds one question.
	sampleTimeout = 250 * time.Millisecond
	// refreshAgain is the pause after questions for a group that brought nothing.
	refreshAgain = 300 * time.Millisecond
	// eagerFailures in a row are followed by the next question at once; two of them make a primary suspected.
	eagerFailures = 3
)

// Refresh keeps the samples of the groups young enough for their routes, until the context ends.
func (s *Server) Refresh(ctx context.Context) {
	for retry.Sleep(ctx, refreshPause) {
		now := clock.Now()
		s.config.Pool.Trim()
		reader := s.config.Reader()
		wanted, share := s.demand.wanted(now), refreshShare
		if reader {
			share = readerShare
			if p := s.config.World.State().Policy; p != nil {
				wanted = p.ReplicaAges()
			}
		}
		for group, age := range wanted {
			s.refresh(now, group, time.Duration(share*float64(age)), reader)
		}
	}
}

// refresh asks for what a group lacks, unless a round of questions is running; samples are to be younger than an age.
func (s *Server) refresh(now time.Time, group model.GroupName, age time.Duration, reader bool) {
	lead := s.config.World.State().Leads[group]
	last, known := s.config.Samples.Last(group)
	lease, leased := s.config.World.Lease(now, group)
	needs := questions(state{
		reader: reader, leased: leased, replacing: lead.Next != nil, failing: s.config.Track.Health(lead.Primary).Failures > 0,
		young: known && last.Mark.Term == lead.Term && now.Sub(last.At) < age, proofAge: s.config.World.ProofAge(now, group),
	})
	if needs == (needed{}) || !s.refreshing.begin(now, group) {
		return
	}
	var wait sync.WaitGroup
	if needs.witness {
		wait.Go(func() { s.witness(group) })
	}
	if needs.primary {
		wait.Go(func() { s.sample(lease) })
	}
	if needs.replicas {
		wait.Go(func() { s.sampleReplicas(now, group, lead.Term) })
	}
	go func() {
		wait.Wait()
		s.refreshing.end(clock.Now(), group, s.pauseAfter(lead.Primary))
	}()
}

// pauseAfter returns the pause after a round: a primary that just began to fail is asked again at once, so that its loss is soon known.
func (s *Server) pauseAfter(primary model.InstanceName) time.Duration {
	if failures := s.config.Track.Health(primary).Failures; failures > 0 && failures <= eagerFailures {
		return refreshPause
	}
	return refreshAgain
}

// sample asks a primary for its position.
func (s *Server) sample(lease world.Lease) {
	state, sentAt, err := s.ask(lease.Primary)
	if err != nil {
		s.failed(lease.Primary.Name, err)
		return
	}
	s.config.Track.Alive(clock.Now(), lease.Primary.Name)
	if state.Role == model.RolePrimary && state.Term == lease.Term && s.config.World.Holds(sentAt, lease) {
		s.config.Samples.Add(lease.Group, sample.Sample{At: sentAt, Mark: state.Received})
	}
}

// sampleReplicas asks all replicas of a group for what they received, while the primary cannot be asked.
func (s *Server) sampleReplicas(now time.Time, group model.GroupName, term model.Term) {
	replicas, asOf, ok := s.config.World.Replicas(now, group)
	if !ok {
		return
	}
	receipts := make([]sample.Receipt, len(replicas))
	var wait sync.WaitGroup
	for i, instance := range replicas {
		wait.Go(func() {
			state, sentAt, err := s.ask(instance)
			if err != nil {
				s.failed(instance.Name, err)
				return // A receipt without a role proves nothing.
			}
			receipts[i] = sample.Receipt{At: sentAt, State: state}
		})
	}
	wait.Wait()
	proven, ok := sample.Received(term, asOf, receipts)
	s.config.Log.Debug("replicas asked for what they received", "group", group, "term", term, "replicas", len(replicas), "proven", ok,
		"mark", proven.Mark, "age", clock.Now().Sub(proven.At))
	if ok {
		s.config.Samples.Add(group, proven)
	}
}

// ask asks an instance for its state on whatever connection is free.
func (s *Server) ask(instance model.Instance) (state model.InstanceState, sentAt time.Time, err error) {
	now := clock.Now()
	conn, err := s.config.Source.Get(now, conns.Request{
		Instance: instance, Team: model.ProxyTeam, Class: tree.ClassReservation, Deadline: now.Add(sampleTimeout), AnyTeam: true,
	})
	if err != nil {
		return state, now, err
	}
	defer func() { s.config.Source.Put(clock.Now(), conn) }()
	sentAt = clock.Now()
	state, err = conn.Status(sentAt.Add(sampleTimeout))
	return state, sentAt, err
}

// witness asks the replicas of a group, the near ones first, until one is not paused for a later term: then no promotion is near.
func (s *Server) witness(group model.GroupName) {
	belief := s.config.World.State()
	primary, lead, known := belief.Primary(group)
	if !known {
		return
	}
	members := belief.Group(group)
	slices.SortStableFunc(members, func(a, b model.Instance) int { return s.distance(a) - s.distance(b) })
	for _, instance := range members {
		if instance.Name == primary.Name || instance.Leaving {
			continue
		}
		state, sentAt, err := s.ask(instance)
		if err == nil && state.Role == model.RoleReplica && state.Term == lead.Term && state.Held <= lead.Term {
			s.config.World.Witness(group, lead.Term, sentAt)
			return
		}
		s.config.Log.Debug("replica is no witness", "group", group, "instance", instance.Name, "held", state.Held, "error", err)
	}
}

// distance is 0 for an instance of the own failure domain.
func (s *Server) distance(instance model.Instance) int {
	if instance.Domain == s.config.Domain {
		return 0
	}
	return 1
}

// Reach tells whether the primary of a group answers as such now.
func (s *Server) Reach(group model.GroupName) bool {
	primary, lead, known := s.config.World.State().Primary(group)
	if !known {
		return false
	}
	state, _, err := s.ask(primary)
	if err != nil {
		_, refused := model.Refused(err)
		return refused
	}
	return state.Role == model.RolePrimary && state.Term == lead.Term
}
