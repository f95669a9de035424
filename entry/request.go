package entry

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/owner"
	"github.com/crocusshore/crocusshore/token"
	"github.com/crocusshore/crocusshore/tree"
)

// call is the state of one caller's request while it is being served.
type call struct {
	id         model.RequestID
	route      tree.Route
	who        identity
	session    token.Session
	statements []model.Statement
	repeatable bool
	deadline   time.Time
}

// reply is the result of a completed request.
type reply struct {
	id         model.RequestID
	rows       []string
	servedBy   model.InstanceName
	replica    bool
	mark       model.Mark
	repeated   bool
	lostWrites bool
	session    token.Session
}

// request returns the request that is sent to an instance for a call.
func (s *Server) request(c *call, instance model.InstanceName, term model.Term, mode model.Mode) owner.Request {
	return owner.Request{
		Group:      c.route.Group,
		Instance:   instance,
		Term:       term,
		Team:       c.who.team,
		Key:        c.who.key,
		RequestID:  c.scopedID(),
		Mode:       mode,
		Statements: c.statements,
		Deadline:   c.deadline,
		Settings:   s.requestSettings(c.route, c.who.team),
	}
}

// scopedID returns the request identifier as upstreams record it; each team has identifiers of its own.
func (c *call) scopedID() model.RequestID {
	return model.RequestID(c.who.team) + "/" + c.id
}
