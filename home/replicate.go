package home

import (
	"context"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/tree"
)

// awaitReplicated waits until a majority of the group holds a write, where the route wants that.
func (h *Executor) awaitReplicated(ctx context.Context, group *tree.Group, r Request, result model.Result) error {
	if !r.writes() || r.Settings.Acknowledge == tree.AcknowledgePrimary {
		return nil
	}
	needed := group.Majority() - 1
	if needed == 0 {
		return nil
	}
	held := make(chan struct{}, len(group.Instances))
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	for _, instance := range group.Instances {
		if instance.Name == r.Instance {
			continue
		}
		w, err := h.scheduler(instance)
		if err != nil {
			continue
		}
		h.signalHeld(ctx, w, result.Mark, held)
	}
	for range needed {
		select {
		case <-held:
		case <-ctx.Done():
			return model.Uncertain(model.ReasonNotReplicated, "the write ran on the primary, but too few instances confirmed that they hold it")
		}
	}
	return nil
}

func (h *Executor) signalHeld(ctx context.Context, w *scheduler, mark model.Mark, held chan<- struct{}) {
	done, cancel := w.tracker.Watch(mark)
	select {
	case <-done:
		held <- struct{}{}
		return
	default:
	}
	go func() {
		defer cancel()
		select {
		case <-done:
			held <- struct{}{}
		case <-ctx.Done():
		}
	}()
}
