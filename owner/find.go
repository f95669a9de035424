package owner

import (
	"context"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/tree"
)

// ModeFind looks up the outcome of an earlier request instead of running one.
const ModeFind model.Mode = "Find"

// findRequest returns the outcome that the primary of the request's term has recorded for a request. A recorded request is
// returned only once it is replicated as its route requires.
func (e *Executor) findRequest(ctx context.Context, s *scheduler, group *tree.Group, r Request) (Response, error) {
	recorded, err := s.upstream.Find(ctx, r.RequestID)
	if err != nil {
		return Response{}, model.Uncertain(model.ReasonNoPrimary, "the primary could not be asked for the outcome")
	}
	if recorded.Term != r.Term {
		return Response{}, model.Uncertain(model.ReasonReplaced, "the instance serves another term")
	}
	if !recorded.Found {
		return Response{}, model.Uncertain(model.ReasonNotRecorded, "the primary has not recorded the request")
	}
	mark := model.Mark{Term: recorded.Term, Position: recorded.Mark.Position}
	found := r
	found.Mode = model.ModeCommit
	if err := e.awaitReplicated(ctx, group, found, model.Result{Mark: mark}); err != nil {
		return Response{}, err
	}
	return Response{Rows: recorded.Rows, Mark: mark, Repeated: true}, nil
}
