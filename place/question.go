package place

import (
	"time"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
)

const (
	// QuestionNone means that the instance is not known to lack the log position that a statement requires.
	QuestionNone Question = "None"
	// QuestionTaken means that the statement finds out for all others whether the instance still lacks the position; EndQuestion follows its attempt.
	QuestionTaken Question = "Taken"
	// QuestionUnderWay means that another statement is finding that out.
	QuestionUnderWay Question = "UnderWay"
	// QuestionAnswered means that the instance was found to lack the position just before.
	QuestionAnswered Question = "Answered"
)

// Question is the decision whether a statement is sent to an instance that was found to lag, which asks the instance whether it still does. It is sent
// after QuestionNone and QuestionTaken.
type Question string

// MayAsk reports whether a statement that requires a log position may be sent to an instance.
func (q Question) MayAsk() bool { return q == QuestionNone || q == QuestionTaken }

// Question returns the decision of TakeQuestion, but takes no question.
func (t *Tracker) Question(now time.Time, instance model.InstanceName, since model.Mark, maxAge time.Duration) Question {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stats(instance).question(now, since, maxAge)
}

// TakeQuestion decides whether a statement that requires a log position is sent to an instance. While an instance lags, the statements of a VM share the
// answers: each accepts one that is at most maxAge old, and no older than the instance had lagged at that time.
func (t *Tracker) TakeQuestion(now time.Time, instance model.InstanceName, since model.Mark, maxAge time.Duration) Question {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats(instance)
	question := s.question(now, since, maxAge)
	if question == QuestionTaken {
		s.askedAt = now
	}
	return question
}

// EndQuestion ends the question that a statement took at an instant, whatever came of it, so that another one can ask.
func (t *Tracker) EndQuestion(takenAt time.Time, instance model.InstanceName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.stats(instance); s.askedAt.Equal(takenAt) {
		s.askedAt = time.Time{}
	}
}

// question decides for a statement. A statement that takes long to ask, for example because it waits for a connection, delays others by at most
// AttemptInterval.
func (s *instanceStats) question(now time.Time, since model.Mark, maxAge time.Duration) Question {
	switch {
	case !s.lackedUpTo(since):
		return QuestionNone
	case !s.askedAt.IsZero() && now.Sub(s.askedAt) < AttemptInterval:
		return QuestionUnderWay
	case now.Sub(s.laggingAt) < min(s.laggingAt.Sub(s.laggingSince), maxAge):
		return QuestionAnswered
	default:
		return QuestionTaken
	}
}

// lackedUpTo reports whether the instance was found to lack a log position, and has not been seen to reach it since.
func (s *instanceStats) lackedUpTo(since model.Mark) bool {
	return s.lacks != (model.Mark{}) && !since.Before(s.lacks)
}

// RecordRefusal records that an instance refused a statement since it lacks a log position, and stated the position has that it has, which is zero if
// unknown. The instance no longer lacks that position, but it still lags, so that it is not asked again any sooner.
func (t *Tracker) RecordRefusal(now time.Time, instance model.InstanceName, since, has model.Mark) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats(instance)
	if has.Before(since) && s.lackedUpTo(has) {
		s.lacks = since
	}
	s.recordLagging(now, since)
}

// recordLagging records that the instance lacks a log position.
func (s *instanceStats) recordLagging(now time.Time, mark model.Mark) {
	if s.lacks == (model.Mark{}) {
		s.lacks, s.laggingSince, s.laggingAt = mark, now, now
	}
	if mark.Before(s.lacks) {
		s.lacks = mark
	}
	s.laggingAt = clock.Later(now, s.laggingAt)
}
