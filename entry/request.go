package entry

import (
	"time"

	"github.com/crocusshore/crocusshore/home"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/token"
	"github.com/crocusshore/crocusshore/tree"
)

// call is one caller's request on its way through the entry.
type call struct {
	id         model.RequestID
	route      tree.Route
	who        identity
	session    token.Session
	statements []model.Statement
	repeatable bool
	deadline   time.Time
}

// reply is what a caller is told of a request that is done.
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

// request returns the form in which a call goes to an instance.
func (s *Server) request(c *call, instance model.InstanceName, term model.Term, mode model.Mode) home.Request {
	return home.Request{
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

// scopedID returns the request's identifier as upstreams record it, apart for each team.
func (c *call) scopedID() model.RequestID {
	return model.RequestID(c.who.team) + "/" + c.id
}
