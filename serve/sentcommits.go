package serve

import (
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// lateCommitTime is how long after a statement was given up its primary may still run it: the statement may lie in a queue of the network or of the
// instance. A log position that the primary was asked for later includes what the statement committed.
const lateCommitTime = time.Second

type (
	// sentCommits records the statements that may commit and were sent to the primary of each group, as far as it is open what they committed; it
	// is safe for concurrent use.
	sentCommits struct {
		mu     sync.Mutex
		groups map[model.GroupName]groupSentCommits
	}

	// groupSentCommits counts the statements of a group that wait for their answers, and holds when one was last given up without one.
	groupSentCommits struct {
		waiting  int
		gaveUpAt time.Time
	}
)

func newSentCommits() *sentCommits {
	return &sentCommits{groups: map[model.GroupName]groupSentCommits{}}
}

// begin records that a statement is about to be sent.
func (s *sentCommits) begin(group model.GroupName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[group]
	g.waiting++
	s.groups[group] = g
}

// end records that a statement waits for its answer no longer. It is settled if it was not sent, or if its answer tells whether it committed and
// what it committed has been recorded.
func (s *sentCommits) end(now time.Time, group model.GroupName, settled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[group]
	g.waiting--
	if !settled {
		g.gaveUpAt = now
	}
	s.groups[group] = g
}

// covered reports whether a log position that the primary was asked for at askedAt, together with the answers so far, includes
// everything that the statements sent before now committed.
func (s *sentCommits) covered(group model.GroupName, askedAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[group]
	return g.waiting == 0 && (g.gaveUpAt.IsZero() || !askedAt.Before(g.gaveUpAt.Add(lateCommitTime)))
}

// KnownCommits returns the highest log position of a group that this VM knows, and whether it includes every commit of which an instance
// may have sent an acknowledgement to this VM, also to its processes before startedAt. It has to be called after the use of the primary has ended.
func (s *Server) KnownCommits(group model.GroupName, startedAt time.Time) (known model.Mark, complete bool) {
	last, sampled := s.config.Samples.Last(group)
	complete = sampled && !last.At.Before(startedAt.Add(lateCommitTime)) && s.sent.covered(group, last.At)
	// The answers have been recorded by the time that their statements do not count as waiting.
	known = s.commits.highestAnswered(group)
	if known.Before(last.Mark) {
		known = last.Mark
	}
	return known, complete
}
