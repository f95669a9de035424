package peers

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/state"
)

const (
	// maxDirectVMs is the largest number of VMs that are all asked directly. If there are more, each VM that is asked forwards the request
	// to some others, because a small VM takes seconds to ask more than a hundred.
	maxDirectVMs = 24
	// forwardedTimeShare is the time limit for a forwarded request, as a share of the time left for the original request.
	forwardedTimeShare = 0.6
)

// Fanout is the VMs to which the receiver of a request forwards it, and the time limit for their answers.
type Fanout struct {
	VMs    []state.VM    `json:",omitempty"`
	Within time.Duration `json:",omitempty"`
}

// batches divides VMs into batches, each of one failure domain. The first VM of a batch is asked directly and forwards the request to the
// others. The order is random: if the first VM of a batch does not answer, the others are asked through another VM later.
func batches(vms []state.VM) [][]state.VM {
	size := 1
	if len(vms) > maxDirectVMs {
		size = int(math.Ceil(math.Sqrt(float64(len(vms)))))
	}
	byDomain := slices.Clone(vms)
	rand.Shuffle(len(byDomain), func(a, b int) { byDomain[a], byDomain[b] = byDomain[b], byDomain[a] })
	slices.SortStableFunc(byDomain, func(a, b state.VM) int { return strings.Compare(string(a.Domain), string(b.Domain)) })
	var result [][]state.VM
	for _, vm := range byDomain {
		last := len(result) - 1
		if last < 0 || len(result[last]) == size || result[last][0].Domain != vm.Domain {
			result = append(result, nil)
			last++
		}
		result[last] = append(result[last], vm)
	}
	return result
}

// askAll asks all VMs, some of them through others, and returns the answers that arrived in time. send returns the answer of vm and those of the VMs
// that vm forwarded the request to; vmOf returns the VM that gave an answer.
func askAll[A any](ctx context.Context, vms []state.VM, vmOf func(A) model.VMID, send func(vm state.VM, fanout Fanout) ([]A, error)) []A {
	within := time.Duration(0)
	if deadline, ok := ctx.Deadline(); ok {
		within = time.Duration(forwardedTimeShare * float64(time.Until(deadline)))
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	answers := make([]A, 0, len(vms))
	for _, batch := range batches(vms) {
		wait.Go(func() {
			fanout := Fanout{}
			if len(batch) > 1 {
				fanout = Fanout{VMs: batch[1:], Within: within}
			}
			got, err := send(batch[0], fanout)
			if err != nil {
				return // VMs that do not answer are missing from the result, which the caller counts.
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, ofAsked(batch, got, vmOf)...)
		})
	}
	wait.Wait()
	return answers
}

// ofAsked returns the first answer of each VM that was asked. Another VM may run at the address of one that has ended.
func ofAsked[A any](asked []state.VM, answers []A, vmOf func(A) model.VMID) []A {
	awaited := make(map[model.VMID]bool, len(asked))
	for _, vm := range asked {
		awaited[vm.Name] = true
	}
	var counted []A
	for _, answer := range answers {
		if vm := vmOf(answer); awaited[vm] {
			awaited[vm] = false
			counted = append(counted, answer)
		}
	}
	return counted
}

// answerAndForward returns the answer of this VM, followed by those of the VMs that the request is forwarded to.
func answerAndForward[A any](fanout Fanout, own func() A, forward func(ctx context.Context, vms []state.VM) []A) []A {
	if len(fanout.VMs) == 0 {
		return []A{own()}
	}
	ctx, cancel := context.WithTimeout(context.Background(), fanout.Within)
	defer cancel()
	others := make(chan []A, 1)
	go func() { others <- forward(ctx, fanout.VMs) }()
	return append([]A{own()}, <-others...)
}
