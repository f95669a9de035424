package peers

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/world"
)

// dialTimeout bounds a new connection to a peer, which is a few milliseconds away.
const dialTimeout = 250 * time.Millisecond

// Client asks other VMs; it is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client.
func NewClient() *Client {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second, DisableCompression: true,
	}}}
}

// Copies asks a VM for newer tables.
func (c *Client) Copies(ctx context.Context, peer netip.AddrPort, request CopiesRequest) (CopiesReply, error) {
	return ask[CopiesReply](ctx, c, peer, pathCopies, request)
}

// Release asks a VM to stop using a primary.
func (c *Client) Release(ctx context.Context, peer netip.AddrPort, request ReleaseRequest) (elect.Release, error) {
	return ask[elect.Release](ctx, c, peer, pathRelease, request)
}

// Opinion asks a VM about a primary.
func (c *Client) Opinion(ctx context.Context, peer netip.AddrPort, request OpinionRequest) (elect.Opinion, error) {
	return ask[elect.Opinion](ctx, c, peer, pathOpinion, request)
}

func ask[A, Q any](ctx context.Context, c *Client, peer netip.AddrPort, path string, question Q) (A, error) {
	var answer A
	body, err := json.Marshal(question)
	if err != nil {
		return answer, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer.String()+path, bytes.NewReader(body))
	if err != nil {
		return answer, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
	if err != nil {
		return answer, err
	}
	if response.StatusCode != http.StatusOK {
		return answer, errors.Newf("peer %s answered %d", peer, response.StatusCode)
	}
	return answer, json.Unmarshal(text, &answer)
}

// Releases asks all VMs at once to stop using a primary and returns the confirmations that came in time.
func (c *Client) Releases(ctx context.Context, vms []world.VM, request ReleaseRequest) []elect.Release {
	return all(vms, func(vm world.VM) (elect.Release, error) {
		release, err := c.Release(ctx, vm.Peers, request)
		release.VM = vm.Name
		return release, err
	})
}

// Opinions asks all VMs at once about a primary and returns the answers that came in time.
func (c *Client) Opinions(ctx context.Context, vms []world.VM, group model.GroupName) []elect.Opinion {
	return all(vms, func(vm world.VM) (elect.Opinion, error) {
		opinion, err := c.Opinion(ctx, vm.Peers, OpinionRequest{Group: group})
		opinion.VM = vm.Name
		return opinion, err
	})
}

func all[A any](vms []world.VM, question func(world.VM) (A, error)) []A {
	var mu sync.Mutex
	var wait sync.WaitGroup
	answers := make([]A, 0, len(vms))
	for _, vm := range vms {
		wait.Go(func() {
			answer, err := question(vm)
			if err != nil {
				return // A VM that does not answer is missing from the result, which the caller counts.
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, answer)
		})
	}
	wait.Wait()
	return answers
}
