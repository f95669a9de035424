package token

import (
	"encoding/json"

	"github.com/crocusshore/crocusshore/model"
)

// Session is what one session has written or read, by group.
type Session struct {
	Marks map[model.GroupName]model.Mark
}

// WithMark returns the session after it saw a mark; marks never go back.
func (s Session) WithMark(group model.GroupName, mark model.Mark) Session {
	marks := make(map[model.GroupName]model.Mark, len(s.Marks)+1)
	for name, old := range s.Marks {
		marks[name] = old
	}
	if !mark.Before(s.Marks[group]) {
		marks[group] = mark
	}
	return Session{Marks: marks}
}

func (s Session) encode() ([]byte, error) { return json.Marshal(s) }

func decodeSession(body []byte) (Session, error) {
	var session Session
	err := json.Unmarshal(body, &session)
	return session, err
}
