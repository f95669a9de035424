package home

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/tree"
)

// Request is one request for an instance.
type Request struct {
	Group       model.GroupName
	Instance    model.InstanceName
	Term        model.Term
	Team        model.TeamName
	Key         model.KeyID
	RequestID   model.RequestID
	Mode        model.Mode
	Transaction string
	Statements  []model.Statement
	Deadline    time.Time
	// MinPosition is the place in the log that a read must include; it applies to the term of the request.
	MinPosition model.Position
	Settings    tree.Settings
}

// writes tells whether a lost answer leaves the outcome open.
func (r *Request) writes() bool {
	return r.Mode == model.ModeCommit || (r.Mode == model.ModeSingle && model.AnyWrite(r.Statements))
}

// Response is the answer to a request that ran.
type Response struct {
	Rows        []string
	Mark        model.Mark
	Age         time.Duration
	Repeated    bool
	Transaction string
}
