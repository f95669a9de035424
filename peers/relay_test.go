package peers

import (
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
	asked *[]place.Condition
}

func (k observingReader) Tables(r TablesRequest) TablesReply {
	*k.asked = append(*k.asked, r.Conditions...)
	return TablesReply{
		Waited:     r.Wait,
		Witnessed:  []state.TermCheck{{Group: "g", Term: 1, Age: 300 * time.Millisecond}},
		Conditions: []place.Condition{{Instance: "slow", Slowness: 4, Age: 200 * time.Millisecond}},
	}
}

// TestReaderForwardsObservationsOfItsFailureDomain guards against needless requests by many VMs without a store: each VM asked a
// replica of each group whether it was paused, and had to detect a slow instance by itself.
func TestReaderForwardsObservationsOfItsFailureDomain(t *testing.T) {
	var asked []place.Condition
	server := httptest.NewServer(Handler(observingReader{asked: &asked}, log.New(io.Discard)))
	t.Cleanup(server.Close)
	w := state.New(state.Config{VM: "vm", Boot: "boot", LeaseTTL: 2 * time.Second})
	lead, err := state.PrimaryRecord{Group: "g", Term: 1, Primary: "p"}.Row()
	require.NoError(t, err)
	require.NoError(t, w.ApplyRows(1, true, []model.StoredRow{lead}, clock.Now().Add(-time.Minute)))
	track := place.NewTracker()
	track.RecordFailure(clock.Now(), "failing")
	track.RecordFailure(clock.Now(), "failing")
	follower := watch.New(watch.Config{
		Open: func() model.RowStore { return stand.NewRows().Client("vm") }, Cache: w, Log: log.New(io.Discard),
		DecodePolicy: func([]byte) (*policy.Policy, []string, error) { return nil, nil, nil },
	})
	r := &Relay{Self: "vm", Cache: w, Watcher: follower, Samples: sample.New(), Tracker: track, Client: NewClient(), Log: log.New(io.Discard)}
	before := clock.Now()
	require.True(t, r.fetch(t.Context(), netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), 0))
	now := clock.Now()
	require.Less(t, w.LeaseEvidenceAge(now, "g"), 300*time.Millisecond+now.Sub(before)+time.Millisecond)
	require.GreaterOrEqual(t, w.LeaseEvidenceAge(now, "g"), 300*time.Millisecond, "the age that the reader reported, and the way back")
	require.InDelta(t, 4, track.Assess(now, place.Candidate{Instance: model.Instance{Name: "slow"}}).Slowness, 0.01)
	require.Len(t, asked, 1)
	require.Equal(t, model.InstanceName("failing"), asked[0].Instance)
}

func TestReplicaOfAnotherTermIsNoEvidence(t *testing.T) {
	w := state.New(state.Config{VM: "vm", Boot: "boot", LeaseTTL: 2 * time.Second})
	lead, err := state.PrimaryRecord{Group: "g", Term: 2, Primary: "p"}.Row()
	require.NoError(t, err)
	now := time.Unix(100, 0)
	require.NoError(t, w.ApplyRows(1, true, []model.StoredRow{lead}, now.Add(-time.Minute)))
	w.RecordTermCheck("g", 1, now)
	require.Equal(t, time.Minute, w.LeaseEvidenceAge(now, "g"))
	require.Empty(t, w.TermChecks(now, time.Second))
	w.RecordTermCheck("g", 2, now)
	require.Zero(t, w.LeaseEvidenceAge(now, "g"))
	require.Equal(t, []state.TermCheck{{Group: "g", Term: 2}}, w.TermChecks(now, time.Second))
	require.Empty(t, w.TermChecks(now.Add(time.Second), time.Second))
}
