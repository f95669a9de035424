package peers

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/state"
	"github.com/crocusshore/crocusshore/watch"
)

const (
	// dialTimeout bounds the dial of a connection to a peer, which is a few milliseconds away.
	dialTimeout = 250 * time.Millisecond
	// headerCall numbers a call; the answer repeats it. HTTP/1.1 ties an answer to its call by their order alone.
	headerCall = "X-Call"
)

// Client sends requests to other VMs over HTTP; it is safe for concurrent use.
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

// Tables requests newer tables from a VM.
func (c *Client) Tables(ctx context.Context, peer netip.AddrPort, request TablesRequest) (TablesReply, error) {
	return call[TablesReply](ctx, c, peer, pathCopies, request)
}

// Row requests an encoding of a row that an answer of the VM named.
func (c *Client) Row(ctx context.Context, peer netip.AddrPort, reference watch.RowReference) ([]byte, error) {
	return c.post(ctx, peer, pathRow, reference)
}

// call sends a request to a peer as JSON and returns the answer. It fails if the status is not 200.
func call[A, Q any](ctx context.Context, c *Client, peer netip.AddrPort, path string, request Q) (A, error) {
	var answer A
	text, err := c.post(ctx, peer, path, request)
	if err != nil {
		return answer, err
	}
	return answer, json.Unmarshal(text, &answer)
}

// post sends a request to a peer as JSON and returns the body of the answer. It fails if the status is not 200.
func (c *Client) post(ctx context.Context, peer netip.AddrPort, path string, request any) ([]byte, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	id := strconv.FormatUint(rand.Uint64(), 36)
	httpRequest.Header.Set(headerCall, id)
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	// A VM of an earlier version repeats nothing.
	if to := response.Header.Get(headerCall); to != "" && to != id {
		return nil, errors.Newf("peer %s answered another call", peer)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxMessageBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("peer %s answered with status %d", peer, response.StatusCode)
	}
	return text, nil
}

// RequestReleases asks all VMs in parallel to stop using a primary and returns the confirmations that arrived in time, each of another of these VMs.
func (c *Client) RequestReleases(ctx context.Context, vms []state.VM, request ReleaseRequest) []elect.Release {
	vmOf := func(r elect.Release) model.VMID { return r.VM }
	return askAll(ctx, vms, vmOf, func(vm state.VM, fanout Fanout) ([]elect.Release, error) {
		request := request
		request.Spread = fanout
		return call[[]elect.Release](ctx, c, vm.Peers, pathRelease, request)
	})
}

// RequestOpinions asks all VMs in parallel about a primary and returns the answers that arrived in time, each of another of these VMs.
func (c *Client) RequestOpinions(ctx context.Context, vms []state.VM, group model.GroupName) []elect.Opinion {
	vmOf := func(o elect.Opinion) model.VMID { return o.VM }
	return askAll(ctx, vms, vmOf, func(vm state.VM, fanout Fanout) ([]elect.Opinion, error) {
		return call[[]elect.Opinion](ctx, c, vm.Peers, pathOpinion, OpinionRequest{Group: group, Spread: fanout})
	})
}
