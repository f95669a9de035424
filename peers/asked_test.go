package peers

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/state"
)

// TestAnswerOfAnotherVMAtTheAddressIsNone guards against lost commits: a VM has ended, and another one runs at its address. Its confirmation was taken for
// that of the first, and what the first knew to be acknowledged was missing in the comparison of the replicas.
func TestAnswerOfAnotherVMAtTheAddressIsNone(t *testing.T) {
	peer := startPeer(t, "b")
	vms := []state.VM{{Name: "a", Peers: peer}, {Name: "b", Peers: peer}}
	releases := NewClient().RequestReleases(t.Context(), vms, ReleaseRequest{Group: "g", Version: 8})
	require.Equal(t, []model.VMID{"b"}, vmNames(releases))
	opinions := NewClient().RequestOpinions(t.Context(), vms, "g")
	require.Len(t, opinions, 1)
	require.Equal(t, model.VMID("b"), opinions[0].VM)
}

// TestOpinionOfAVMCountsOnce guards against a verdict on a primary by VMs that were not asked, or by one VM twice: the verdict is that of most answers.
func TestOpinionOfAVMCountsOnce(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerCall, r.Header.Get(headerCall))
		_, _ = io.WriteString(w, `[{"VM":"a"},{"VM":"a"},{"VM":"x"}]`)
	}))
	t.Cleanup(server.Close)
	peer := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	opinions := NewClient().RequestOpinions(t.Context(), []state.VM{{Name: "a", Peers: peer}, {Name: "b", Peers: startPeer(t, "b")}}, "g")
	require.Len(t, opinions, 2)
	require.ElementsMatch(t, []model.VMID{"a", "b"}, []model.VMID{opinions[0].VM, opinions[1].VM})
}
