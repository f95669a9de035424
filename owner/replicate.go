package owner

import (
	"context"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/tree"
)

// awaitReplicated waits until a majority of the group, including the primary, holds a write, if the route requires that. If too few
// instances confirm it before ctx ends, the refusal has the outcome Unknown.
func (e *Executor) awaitReplicated(ctx context.Context, group *tree.Group, r Request, result model.Result) error {
	if !r.hasLastingEffect() || r.Settings.Acknowledge == tree.AcknowledgePrimary {
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
		s, err := e.scheduler(instance)
		if err != nil {
			continue
		}
		e.signalHeld(ctx, s, result.Mark, held)
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

// signalHeld sends on held once the instance holds the mark, unless ctx ends first.
func (e *Executor) signalHeld(ctx context.Context, s *scheduler, mark model.Mark, held chan<- struct{}) {
	done, cancel := s.tracker.Watch(mark)
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
