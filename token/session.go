package token

import (
	"encoding/json"

	"github.com/crocusshore/crocusshore/model"
)

// Session holds, by group, the highest log position that one session has written or read.
type Session struct {
	Marks map[model.GroupName]model.Mark
}

// WithMark returns a copy of the session that includes a mark. The mark of a group never moves back.
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
