package sess

import (
	"maps"
	"slices"

	"github.com/crocusshore/crocusshore/model"
)

type (
	// Session is the state that a caller's session keeps between statements, whichever connections they run on.
	Session struct {
		// Values are the session values that were acknowledged to the caller.
		Values map[string]string
		// Prepared are the prepared statements by the names that the caller gave them.
		Prepared map[string]model.Prepared
		State    model.TxState

		// commits holds the last commit in each group in which the session has committed. That is one group, unless its route moved.
		commits []groupCommit
		// size is the size of Values and Prepared in bytes, and valuesSize that of Values alone.
		size, valuesSize int
	}

	groupCommit struct {
		group model.GroupName
		mark  model.Mark
	}
)

// New returns the state of a new session.
func New() *Session {
	return &Session{Values: map[string]string{}, Prepared: map[string]model.Prepared{}, State: model.TxNone}
}

// Set records a session value.
func (s *Session) Set(name, value string) {
	// Transactions and connections under way may still refer to the old map, so it is never changed in place.
	values := maps.Clone(s.Values)
	values[name] = value
	s.Values = values
}

// RecordCommit records the log position of a commit of the session in a group. The session keeps the highest position of each group, since its route may move
// to another group and back.
func (s *Session) RecordCommit(group model.GroupName, mark model.Mark) {
	at := s.indexOfCommit(group)
	switch {
	case at < 0:
		s.commits = append(s.commits, groupCommit{group: group, mark: mark})
	case s.commits[at].mark.Before(mark):
		s.commits[at].mark = mark
	}
}

// LastCommit returns the log position of the session's last commit in a group.
func (s *Session) LastCommit(group model.GroupName) model.Mark {
	if at := s.indexOfCommit(group); at >= 0 {
		return s.commits[at].mark
	}
	return model.Mark{}
}

// indexOfCommit returns the index of the last commit in a group, negative if there is none.
func (s *Session) indexOfCommit(group model.GroupName) int {
	return slices.IndexFunc(s.commits, func(c groupCommit) bool { return c.group == group })
}
