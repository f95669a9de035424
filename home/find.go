package home

import (
	"context"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/tree"
)

// ModeFind looks the outcome of an earlier request up in place of running one.
const ModeFind model.Mode = "Find"

// findRequest returns the recorded outcome of a request on the primary of a term.
func (h *Executor) findRequest(ctx context.Context, w *scheduler, group *tree.Group, r Request) (Response, error) {
	recorded, err := w.upstream.Find(ctx, r.RequestID)
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
	if err := h.awaitReplicated(ctx, group, found, model.Result{Mark: mark}); err != nil {
		return Response{}, err
	}
	return Response{Rows: recorded.Rows, Mark: mark, Repeated: true}, nil
}
