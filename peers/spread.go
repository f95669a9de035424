package peers

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/world"
)

const (
	// maxDirectVMs is how many VMs are asked directly; in a larger fleet each asked VM asks some others in turn, since a small VM takes
	// seconds to ask more than a hundred.
	maxDirectVMs = 24
	// forwardedTimeShare of the time for a question is left to the VMs that it is passed on to.
	forwardedTimeShare = 0.6
)

// Fanout is who else the receiver of a question asks, and how long that may take.
type Fanout struct {
	VMs    []world.VM    `json:",omitempty"`
	Within time.Duration `json:",omitempty"`
}

// batches divides VMs among those that are asked directly, who come first in their part; each part is of one failure domain. The
// order is random, so that VMs behind one that does not answer have another one before them the next time.
func batches(vms []world.VM) [][]world.VM {
	size := 1
	if len(vms) > maxDirectVMs {
		size = int(math.Ceil(math.Sqrt(float64(len(vms)))))
	}
	shuffled := slices.Clone(vms)
	rand.Shuffle(len(shuffled), func(a, b int) { shuffled[a], shuffled[b] = shuffled[b], shuffled[a] })
	slices.SortStableFunc(shuffled, func(a, b world.VM) int { return strings.Compare(string(a.Domain), string(b.Domain)) })
	var divided [][]world.VM
	for _, vm := range shuffled {
		last := len(divided) - 1
		if last < 0 || len(divided[last]) == size || divided[last][0].Domain != vm.Domain {
			divided = append(divided, nil)
			last++
		}
		divided[last] = append(divided[last], vm)
	}
	return divided
}

// askAll asks all VMs, some of them through others, and returns the answers that came in time; the answers of a VM begin with its own.
func askAll[A any](ctx context.Context, vms []world.VM, question func(vm world.VM, spread Fanout) ([]A, error)) []A {
	within := time.Duration(0)
	if deadline, ok := ctx.Deadline(); ok {
		within = time.Duration(forwardedTimeShare * float64(time.Until(deadline)))
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	answers := make([]A, 0, len(vms))
	for _, part := range batches(vms) {
		wait.Go(func() {
			spread := Fanout{}
			if len(part) > 1 {
				spread = Fanout{VMs: part[1:], Within: within}
			}
			got, err := question(part[0], spread)
			if err != nil {
				return // VMs that do not answer are missing from the result, which the caller counts.
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, got...)
		})
	}
	wait.Wait()
	return answers
}

// answerAndForward returns the own answer, and after it those of the VMs that the question is passed on to.
func answerAndForward[A any](spread Fanout, own func() A, forward func(ctx context.Context, vms []world.VM) []A) []A {
	if len(spread.VMs) == 0 {
		return []A{own()}
	}
	ctx, cancel := context.WithTimeout(context.Background(), spread.Within)
	defer cancel()
	others := make(chan []A, 1)
	go func() { others <- forward(ctx, spread.VMs) }()
	return append([]A{own()}, <-others...)
}
