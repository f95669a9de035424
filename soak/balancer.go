package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/platform"
)

const (
	// readyInterval is the interval at which the balancer asks a VM whether it is ready.
	readyInterval = time.Second
	// maxMisses is the number of misses in a row after which a VM gets no new connections.
	maxMisses = 2
)

// balancer chooses VMs for new connections, as the platform's load balancer does; it is safe for concurrent use.
type balancer struct {
	vms    []*process
	client http.Client
	mu     sync.Mutex
	// misses holds for each VM how many questions in a row were not answered with success.
	misses []int
}

// newBalancer returns a balancer that asks the VMs until ctx ends.
func newBalancer(ctx context.Context, vms []*process) *balancer {
	b := &balancer{vms: vms, client: http.Client{Timeout: readyInterval}, misses: make([]int, len(vms))}
	for n := range vms {
		go b.poll(ctx, n)
	}
	return b
}

func (b *balancer) poll(ctx context.Context, n int) {
	for ctx.Err() == nil {
		ready := b.ready(ctx, n)
		b.mu.Lock()
		b.misses[n]++
		if ready {
			b.misses[n] = 0
		}
		b.mu.Unlock()
		time.Sleep(readyInterval)
	}
}

func (b *balancer) ready(ctx context.Context, n int) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.vms[n].settings.Ready.String()+platform.PathReady, http.NoBody)
	if err != nil {
		return false
	}
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// choose returns one of the VMs that are in rotation, or any if those are fewer than half.
func (b *balancer) choose(random *rand.Rand) *process {
	b.mu.Lock()
	defer b.mu.Unlock()
	var chosen []*process
	for n, vm := range b.vms {
		if b.misses[n] < maxMisses {
			chosen = append(chosen, vm)
		}
	}
	if 2*len(chosen) < len(b.vms) {
		chosen = b.vms
	}
	return chosen[random.IntN(len(chosen))]
}
