package serve

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/retry"
	"github.com/crocusshore/crocusshore/sample"
	"github.com/crocusshore/crocusshore/state"
)

const (
	// refreshInterval is the interval at which the age of the samples is checked.
	refreshInterval = 100 * time.Millisecond
	// demandTTL bounds how long a group is still sampled after its last read.
	demandTTL = 2 * time.Second
	// pollTimeout bounds one request for the state of an instance, and the wait for a connection before it.
	pollTimeout = 250 * time.Millisecond
	// pollRoundPause is the pause after a round of requests for a group, even if the round gave no sample.
	pollRoundPause = 300 * time.Millisecond
	// maxFastPollFailures bounds the consecutive failures of a primary after which it is asked again after refreshInterval. After more, it is
	// asked again after pollRoundPause. Two failures make a primary suspected.
	maxFastPollFailures = 3
)

// RefreshSamples keeps the samples of the groups recent enough for their routes until the context ends, trims the connection pool and observes
// which outages have ended.
func (s *Server) RefreshSamples(ctx context.Context) {
	for retry.Sleep(ctx, refreshInterval) {
		now := clock.Now()
		s.config.Pool.Trim()
		s.observeOutages(now)
		s.observeEvacuations(now)
		reader := s.config.IsReader()
		wanted := s.readDemand.active(now)
		if reader {
			if p := s.config.Cache.Snapshot().Policy; p != nil {
				wanted = p.ReplicaMaxAges()
			}
		}
		for group, age := range wanted {
			s.refreshGroup(now, group, age, reader)
		}
	}
}

// refreshGroup starts a round of the requests that requiredPolls selects for a group, whose routes allow a staleness of maxAge. It starts no round
// while the group's last round is unfinished or too recent.
func (s *Server) refreshGroup(now time.Time, group model.GroupName, maxAge time.Duration, reader bool) {
	record := s.config.Cache.Snapshot().Primaries[group]
	last, known := s.config.Samples.Last(group)
	lease, leased := s.config.Cache.Lease(now, group)
	health := s.config.Tracker.Health(now, record.Primary)
	current := groupState{
		reader: reader, leased: leased, replacing: record.Next != nil,
		primaryFailing:  health.Failures > 0 || (reader && health.ReportedFailing),
		hasRecentSample: known && last.Mark.Term == record.Term && now.Sub(last.At) < refreshAge(maxAge, reader), evidenceAge: s.config.Cache.LeaseEvidenceAge(now, group),
	}
	needs := requiredPolls(current)
	if needs == (polls{}) || !s.pollRounds.tryBegin(now, group) {
		return
	}
	var wait sync.WaitGroup
	if needs.termCheck {
		wait.Go(func() { s.checkTerm(group, termCheckMaxAge(current)) })
	}
	if needs.primary {
		wait.Go(func() { s.pollPrimary(lease, sampleMaxAge(current, maxAge)) })
	}
	if needs.replicas {
		wait.Go(func() { s.pollReplicas(group, record.Term) })
	}
	go func() {
		wait.Wait()
		s.pollRounds.end(clock.Now(), group, s.pauseAfter(record.Primary))
	}()
}

// pauseAfter returns the pause after a round. It is short for a primary that just began to fail, so that its failure is established soon.
func (s *Server) pauseAfter(primary model.InstanceName) time.Duration {
	if failures := s.config.Tracker.Health(clock.Now(), primary).Failures; failures > 0 && failures <= maxFastPollFailures {
		return refreshInterval
	}
	return pollRoundPause
}

// pollPrimary asks a primary for its log position, or uses an answer to another VM that is at most maxAge old.
func (s *Server) pollPrimary(lease state.Lease, maxAge time.Duration) {
	state, askedAt, err := s.pollStatus(purposeSample, lease.Primary, maxAge)
	if err != nil {
		s.trackFailure(lease.Primary.Name, err)
		return
	}
	s.recordState(lease.Primary.Name, state, askedAt)
	if state.Role == model.RolePrimary && state.Term == lease.Term && s.config.Cache.LeaseValid(askedAt, lease) {
		s.config.Samples.Add(lease.Group, sample.Sample{At: askedAt, Mark: state.Received})
	}
}

// pollReplicas asks all replicas of a group for the positions that they received, while the primary cannot be asked.
func (s *Server) pollReplicas(group model.GroupName, term model.Term) {
	replicas, asOf, ok := s.config.Cache.Replicas(group)
	if !ok {
		return
	}
	replies := make([]sample.ReplicaReply, len(replicas))
	var wait sync.WaitGroup
	for i, instance := range replicas {
		wait.Go(func() {
			state, askedAt, err := s.pollStatus(purposeReplicas, instance, 0)
			if err != nil {
				s.trackFailure(instance.Name, err)
				return // The zero reply has no role, so no sample follows from this round.
			}
			replies[i] = sample.ReplicaReply{At: askedAt, State: state}
		})
	}
	wait.Wait()
	covered, ok := sample.FromReplicas(term, asOf, replies)
	s.config.Log.Debug("replicas asked for their received positions", "group", group, "term", term, "replicas", len(replicas), "covered", ok,
		"mark", covered.Mark, "age", clock.Now().Sub(covered.At))
	if ok {
		s.config.Samples.Add(group, covered)
	}
}

// checkTerm runs a term check: it asks the replicas of a group, those of this VM's failure domain first, until one is not paused for a
// later term. Then no promotion was imminent when that replica was asked, at most maxAge ago.
func (s *Server) checkTerm(group model.GroupName, maxAge time.Duration) {
	snapshot := s.config.Cache.Snapshot()
	primary, record, known := snapshot.Primary(group)
	if !known {
		return
	}
	members := snapshot.GroupInstances(group)
	slices.SortStableFunc(members, func(a, b model.Instance) int { return s.domainDistance(a) - s.domainDistance(b) })
	for _, instance := range members {
		if instance.Name == primary.Name || instance.Leaving {
			continue
		}
		reported, askedAt, err := s.pollStatus(purposeTermCheck, instance, maxAge)
		if err == nil && reported.Role == model.RoleReplica && reported.Term == record.Term && reported.Held <= record.Term {
			s.config.Cache.RecordTermCheck(group, record.Term, askedAt)
			return
		}
		s.config.Log.Debug("replica did not pass the term check", "group", group, "instance", instance.Name, "paused-term", reported.Held, "error", err)
	}
}

// domainDistance returns 0 for an instance of this VM's failure domain and 1 for any other.
func (s *Server) domainDistance(instance model.Instance) int {
	if instance.Domain == s.config.Domain {
		return 0
	}
	return 1
}

// PrimaryAnswers asks the primary of a group for its state and reports whether it answers as the primary; a refusal counts as an answer.
func (s *Server) PrimaryAnswers(group model.GroupName) bool {
	primary, record, known := s.config.Cache.Snapshot().Primary(group)
	if !known {
		return false
	}
	state, _, err := s.pollStatus(purposeOpinion, primary, opinionMaxAge(primary))
	if err != nil {
		_, refused := model.Refused(err)
		return refused
	}
	return state.Role == model.RolePrimary && state.Term == record.Term
}
