package peers

import (
	"context"
	"io"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/place"
	"github.com/crocusshore/crocusshore/policy"
	"github.com/crocusshore/crocusshore/sample"
	"github.com/crocusshore/crocusshore/stand"
	"github.com/crocusshore/crocusshore/state"
	"github.com/crocusshore/crocusshore/watch"
)

// observingReader is a reader with observations of its failure domain.
type observingReader struct {
	fixedResponder
	received *[]place.Condition
}

func (k observingReader) Tables(r TablesRequest) TablesReply {
	*k.received = append(*k.received, r.Conditions...)
	return TablesReply{
		Waited:     r.Wait,
		Witnessed:  []state.TermCheck{{Group: "g", Term: 1, Age: 300 * time.Millisecond}},
		Conditions: []place.Condition{{Instance: "slow", Slowness: 4, Age: 200 * time.Millisecond}},
	}
}

// TestReaderForwardsObservationsOfItsFailureDomain guards against needless requests by many VMs while the store was unreachable: each VM asked a
// replica of each group whether it was paused, and had to detect a slow instance by itself.
func TestReaderForwardsObservationsOfItsFailureDomain(t *testing.T) {
	var received []place.Condition
	server := httptest.NewServer(Handler(observingReader{received: &received}, log.New(io.Discard)))
	t.Cleanup(server.Close)
	cache := state.New(state.Config{VM: "vm", Boot: "boot", LeaseTTL: 2 * time.Second})
	row, err := state.PrimaryRecord{Group: "g", Term: 1, Primary: "p"}.Row()
	require.NoError(t, err)
	require.NoError(t, cache.ApplyRows(1, true, []model.StoredRow{row}, clock.Now().Add(-time.Minute)))
	tracker := place.NewTracker()
	tracker.RecordFailure(clock.Now(), "failing")
	tracker.RecordFailure(clock.Now(), "failing")
	watcher := watch.New(watch.Config{
		Open: func() model.RowStore { return stand.NewRows().Client("vm") }, Cache: cache, Log: log.New(io.Discard),
		DecodePolicy: func([]byte) (*policy.Policy, []string, error) { return nil, nil, nil },
	})
	r := &Relay{Self: "vm", Cache: cache, Watcher: watcher, Samples: sample.New(), Tracker: tracker, Client: NewClient(), Log: log.New(io.Discard)}
	before := clock.Now()
	require.True(t, r.fetch(t.Context(), netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), 0))
	now := clock.Now()
	require.Less(t, cache.LeaseEvidenceAge(now, "g"), 300*time.Millisecond+now.Sub(before)+time.Millisecond)
	require.GreaterOrEqual(t, cache.LeaseEvidenceAge(now, "g"), 300*time.Millisecond, "at least the age that the reader reported, and the way back")
	require.InDelta(t, 4, tracker.Assess(now, place.Candidate{Instance: model.Instance{Name: "slow"}}).Slowness, 0.01)
	require.Len(t, received, 1)
	require.Equal(t, model.InstanceName("failing"), received[0].Instance)
}

func TestTermCheckOfAnotherTermIsNoEvidence(t *testing.T) {
	cache := state.New(state.Config{VM: "vm", Boot: "boot", LeaseTTL: 2 * time.Second})
	row, err := state.PrimaryRecord{Group: "g", Term: 2, Primary: "p"}.Row()
	require.NoError(t, err)
	now := time.Unix(100, 0)
	require.NoError(t, cache.ApplyRows(1, true, []model.StoredRow{row}, now.Add(-time.Minute)))
	cache.RecordTermCheck("g", 1, now)
	require.Equal(t, time.Minute, cache.LeaseEvidenceAge(now, "g"))
	require.Empty(t, cache.TermChecks(now, time.Second))
	cache.RecordTermCheck("g", 2, now)
	require.Zero(t, cache.LeaseEvidenceAge(now, "g"))
	require.Equal(t, []state.TermCheck{{Group: "g", Term: 2}}, cache.TermChecks(now, time.Second))
	require.Empty(t, cache.TermChecks(now.Add(time.Second), time.Second))
}

// TestStartingVMTakesItsRoleSoon guards against a VM that follows the store's changes for a while after its start although another VM of its
// failure domain does: it looked for one only every 300 ms.
func TestStartingVMTakesItsRoleSoon(t *testing.T) {
	const soon = 120 * time.Millisecond
	cache := state.New(state.Config{VM: "vm"})
	rows := stand.NewRows()
	watcher := watch.New(watch.Config{Open: func() model.RowStore { return rows.Client("vm") }, Cache: cache, Log: log.New(io.Discard)})
	r := &Relay{
		Self: "vm", Domain: "east", Cache: cache, Rankings: state.NewRankings(cache), Watcher: watcher, Samples: sample.New(), Tracker: place.NewTracker(),
		Seeds: func() []netip.AddrPort { return nil }, Client: NewClient(), Log: log.New(io.Discard),
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go r.Run(ctx)
	time.Sleep(20 * time.Millisecond)
	require.Equal(t, watch.RoleReader, watcher.Role(), "no other VM is known")
	row, err := state.VM{Name: "other", Domain: "east"}.Row()
	require.NoError(t, err)
	row.Version = 1
	require.NoError(t, cache.ApplyRows(1, true, []model.StoredRow{row}, clock.Now()))
	require.Eventually(t, func() bool { return watcher.Role() == watch.RoleConsumer }, soon, 5*time.Millisecond)
}
