package model

import "strconv"

// Mark is a log position in the history of a group, ordered by term and then position.
type Mark struct {
	Term     Term
	Position Position
}

// Before reports whether m comes before other.
func (m Mark) Before(other Mark) bool {
	if m.Term != other.Term {
		return m.Term < other.Term
	}
	return m.Position < other.Position
}

// String returns the mark as term.position.
func (m Mark) String() string {
	return strconv.FormatInt(int64(m.Term), 10) + "." + strconv.FormatInt(int64(m.Position), 10)
}
