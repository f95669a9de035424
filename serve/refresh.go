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
	// refreshInterval is how often the samples are judged.
	refreshInterval = 100 * time.Millisecond
	// readerAgeShare of the shortest allowed age may pass before the reader of a failure domain takes a new sample, and refreshShare
	// before any other VM does, which gets samples from the reader.
	readerAgeShare  = 0.4
	defaultAgeShare = 0.85
	// demandTTL is how long after its last read a group is still sampled.
	demandTTL = 2 * time.Second
	// pollTimeout bounds one question.
	pollTimeout = 250 * time.Millisecond
	// pollRoundPause is the pause after questions for a group that brought nothing.
	pollRoundPause = 300 * time.Millisecond
	// maxFastPollFailures in a row are followed by the next question at once; two of them make a primary suspected.
	maxFastPollFailures = 3
)

// RefreshSamples keeps the samples of the groups young enough for their routes, until the context ends.
func (s *Server) RefreshSamples(ctx context.Context) {
	for retry.Sleep(ctx, refreshInterval) {
		now := clock.Now()
		s.config.Pool.Trim()
		reader := s.config.IsReader()
		wanted, share := s.readDemand.active(now), defaultAgeShare
		if reader {
			share = readerAgeShare
			if p := s.config.World.Snapshot().Policy; p != nil {
				wanted = p.ReplicaMaxAges()
			}
		}
		for group, age := range wanted {
			s.refreshGroup(now, group, time.Duration(share*float64(age)), reader)
		}
	}
}

// refreshGroup asks for what a group lacks, unless a round of questions is running; samples are to be younger than an age.
func (s *Server) refreshGroup(now time.Time, group model.GroupName, age time.Duration, reader bool) {
	lead := s.config.World.Snapshot().Primaries[group]
	last, known := s.config.Samples.Last(group)
	lease, leased := s.config.World.Lease(now, group)
	needs := requiredPolls(groupState{
		reader: reader, leased: leased, replacing: lead.Next != nil, primaryFailing: s.config.Track.Health(lead.Primary).Failures > 0,
		hasFreshSample: known && last.Mark.Term == lead.Term && now.Sub(last.At) < age, evidenceAge: s.config.World.LeaseEvidenceAge(now, group),
	})
	if needs == (polls{}) || !s.pollRounds.tryBegin(now, group) {
		return
	}
	var wait sync.WaitGroup
	if needs.termCheck {
		wait.Go(func() { s.checkTerm(group) })
	}
	if needs.primary {
		wait.Go(func() { s.pollPrimary(lease) })
	}
	if needs.replicas {
		wait.Go(func() { s.pollReplicas(now, group, lead.Term) })
	}
	go func() {
		wait.Wait()
		s.pollRounds.end(clock.Now(), group, s.pauseAfter(lead.Primary))
	}()
}

// pauseAfter returns the pause after a round: a primary that just began to fail is asked again at once, so that its loss is soon known.
func (s *Server) pauseAfter(primary model.InstanceName) time.Duration {
	if failures := s.config.Track.Health(primary).Failures; failures > 0 && failures <= maxFastPollFailures {
		return refreshInterval
	}
	return pollRoundPause
}

// pollPrimary asks a primary for its position.
func (s *Server) pollPrimary(lease world.Lease) {
	state, sentAt, err := s.pollStatus(lease.Primary)
	if err != nil {
		s.trackFailure(lease.Primary.Name, err)
		return
	}
	s.config.Track.RecordAlive(clock.Now(), lease.Primary.Name)
	if state.Role == model.RolePrimary && state.Term == lease.Term && s.config.World.LeaseValid(sentAt, lease) {
		s.config.Samples.Add(lease.Group, sample.Sample{At: sentAt, Mark: state.Received})
	}
}

// pollReplicas asks all replicas of a group for what they received, while the primary cannot be asked.
func (s *Server) pollReplicas(now time.Time, group model.GroupName, term model.Term) {
	replicas, asOf, ok := s.config.World.Replicas(now, group)
	if !ok {
		return
	}
	replies := make([]sample.ReplicaReply, len(replicas))
	var wait sync.WaitGroup
	for i, instance := range replicas {
		wait.Go(func() {
			state, sentAt, err := s.pollStatus(instance)
			if err != nil {
				s.trackFailure(instance.Name, err)
				return // A receipt without a role proves nothing.
			}
			replies[i] = sample.ReplicaReply{At: sentAt, State: state}
		})
	}
	wait.Wait()
	proven, ok := sample.FromReplicas(term, asOf, replies)
	s.config.Log.Debug("replicas asked for what they received", "group", group, "term", term, "replicas", len(replicas), "proven", ok,
		"mark", proven.Mark, "age", clock.Now().Sub(proven.At))
	if ok {
		s.config.Samples.Add(group, proven)
	}
}

// pollStatus asks an instance for its state on whatever connection is free.
func (s *Server) pollStatus(instance model.Instance) (state model.InstanceState, sentAt time.Time, err error) {
	now := clock.Now()
	conn, err := s.config.Source.Get(now, conns.Request{
		Instance: instance, Team: model.ProxyTeam, Class: tree.ClassReservation, Deadline: now.Add(pollTimeout), AnyTeam: true,
	})
	if err != nil {
		return state, now, err
	}
	defer func() { s.config.Source.Put(clock.Now(), conn) }()
	sentAt = clock.Now()
	state, err = conn.Status(sentAt.Add(pollTimeout))
	return state, sentAt, err
}

// checkTerm asks the replicas of a group, the near ones first, until one is not paused for a later term: then no promotion is near.
func (s *Server) checkTerm(group model.GroupName) {
	state := s.config.World.Snapshot()
	primary, lead, known := state.Primary(group)
	if !known {
		return
	}
	members := state.GroupInstances(group)
	slices.SortStableFunc(members, func(a, b model.Instance) int { return s.domainDistance(a) - s.domainDistance(b) })
	for _, instance := range members {
		if instance.Name == primary.Name || instance.Leaving {
			continue
		}
		state, sentAt, err := s.pollStatus(instance)
		if err == nil && state.Role == model.RoleReplica && state.Term == lead.Term && state.Held <= lead.Term {
			s.config.World.RecordTermCheck(group, lead.Term, sentAt)
			return
		}
		s.config.Log.Debug("replica is no witness", "group", group, "instance", instance.Name, "held", state.Held, "error", err)
	}
}

// domainDistance is 0 for an instance of the own failure domain.
func (s *Server) domainDistance(instance model.Instance) int {
	if instance.Domain == s.config.Domain {
		return 0
	}
	return 1
}

// PrimaryAnswers tells whether the primary of a group answers as such now.
func (s *Server) PrimaryAnswers(group model.GroupName) bool {
	primary, lead, known := s.config.World.Snapshot().Primary(group)
	if !known {
		return false
	}
	state, _, err := s.pollStatus(primary)
	if err != nil {
		_, refused := model.Refused(err)
		return refused
	}
	return state.Role == model.RolePrimary && state.Term == lead.Term
}
