package owner

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/tree"
)

// Request is a request for one instance.
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
	// MinPosition is the log position, in the term of the request, that a read must include.
	MinPosition model.Position
	// Settings are the effective settings of the route.
	Settings tree.Settings
}

// hasLastingEffect reports whether the request may have a lasting effect by itself: it is a commit, or a single request that writes. If
// its answer is lost, its outcome is unknown.
func (r *Request) hasLastingEffect() bool {
	return r.Mode == model.ModeCommit || (r.Mode == model.ModeSingle && model.AnyWrite(r.Statements))
}

// Response is the answer to a request that ran.
type Response struct {
	Rows []string
	// Mark is the log position of the result.
	Mark model.Mark
	// Age is how far the instance may lag behind its primary.
	Age time.Duration
	// Repeated is set if the result was recorded by an earlier attempt.
	Repeated bool
	// Transaction is the identifier of the transaction that a Begin opened.
	Transaction string
}
