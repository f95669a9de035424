package peers

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/state"
)

// countingResponder is a VM that counts the requests that it receives.
type countingResponder struct {
	fixedResponder
	name  model.VMID
	asked *atomic.Int64
}

func (n countingResponder) Release(r ReleaseRequest) elect.Release {
	n.asked.Add(1)
	return elect.Release{VM: n.name, Known: model.Mark{Term: 1, Position: model.Position(r.Version)}}
}

func (n countingResponder) Opinion(OpinionRequest) elect.Opinion {
	return elect.Opinion{VM: n.name, Reached: true}
}

func startCountingPeers(t *testing.T, count int) ([]state.VM, *atomic.Int64) {
	t.Helper()
	var asked atomic.Int64
	var vms []state.VM
	for i := range count {
		name := model.VMID(fmt.Sprintf("vm-%03d", i))
		server := httptest.NewServer(Handler(countingResponder{name: name, asked: &asked}, log.New(io.Discard)))
		t.Cleanup(server.Close)
		vms = append(vms, state.VM{Name: name, Domain: model.Domain(fmt.Sprint(i % 3)), Peers: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))})
	}
	return vms, &asked
}

func vmNames(releases []elect.Release) []model.VMID {
	found := make([]model.VMID, 0, len(releases))
	for _, r := range releases {
		found = append(found, r.VM)
	}
	return found
}

func TestRequestToManyVMsIsForwarded(t *testing.T) {
	vms, asked := startCountingPeers(t, 117)
	require.LessOrEqual(t, len(batches(vms)), 13, "few VMs are asked directly")
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	releases := NewClient().RequestReleases(ctx, vms, ReleaseRequest{Group: "g", Version: 9})
	require.Len(t, releases, 117)
	require.EqualValues(t, 117, asked.Load(), "each VM is asked once")
	seen := map[model.VMID]bool{}
	for _, name := range vmNames(releases) {
		seen[name] = true
	}
	require.Len(t, seen, 117)
	require.Len(t, NewClient().RequestOpinions(ctx, vms, "g"), 117)
}

func TestVMsBehindAnUnresponsiveOneAreReachedLater(t *testing.T) {
	vms, _ := startCountingPeers(t, 40)
	vms[7].Peers = netip.MustParseAddrPort("127.0.0.1:1")
	done := map[model.VMID]bool{}
	for range 12 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		var missing []state.VM
		for _, vm := range vms {
			if !done[vm.Name] {
				missing = append(missing, vm)
			}
		}
		for _, name := range vmNames(NewClient().RequestReleases(ctx, missing, ReleaseRequest{Group: "g"})) {
			done[name] = true
		}
		cancel()
	}
	require.Len(t, done, 39, "all but the one that does not answer")
	require.False(t, done["vm-007"])
}

func TestBatchesKeepFailureDomainsApart(t *testing.T) {
	var vms []state.VM
	for i := range 100 {
		vms = append(vms, state.VM{Name: model.VMID(fmt.Sprint(i)), Domain: model.Domain(fmt.Sprint(i % 4))})
	}
	count := 0
	for _, batch := range batches(vms) {
		for _, vm := range batch {
			require.Equal(t, batch[0].Domain, vm.Domain)
			count++
		}
	}
	require.Equal(t, 100, count)
	require.Len(t, batches(vms[:maxDirectVMs]), maxDirectVMs, "few VMs are all asked directly")
	require.Empty(t, batches(nil))
}
