package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/tree"
	"github.com/crocusshore/crocusshore/view"
	"github.com/crocusshore/crocusshore/wait"
)

// newServerWithoutPrimary returns a server whose view is not confirmed, and a write with a timeout.
func newServerWithoutPrimary(timeout time.Duration) (*Server, *call) {
	s := &Server{now: time.Now, views: view.NewCache("boot"), outages: wait.NewOutages[supply]()}
	c := &call{route: tree.Route{Group: "g"}, statements: []model.Statement{{Write: true}}, deadline: time.Now().Add(timeout)}
	return s, c
}

// requireRefusedAfter requires that a wait for the primary ends after a time with the refusal of a request that has not run.
func requireRefusedAfter(t *testing.T, s *Server, c *call, held time.Duration) *model.Refusal {
	t.Helper()
	start := time.Now()
	_, err := s.awaitPrimary(context.Background(), c)
	var refusal *model.Refusal
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, model.NotRun, refusal.Outcome)
	require.InDelta(t, held, time.Since(start), float64(2*placementPollInterval))
	return refusal
}

// TestWriteIsRefusedAtOnceIfNoPrimaryComesInTime guards against callers that are held until their deadline for a refusal that is certain.
func TestWriteIsRefusedAtOnceIfNoPrimaryComesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const outage, timeout = 4 * time.Second, 2 * time.Second
		s, c := newServerWithoutPrimary(timeout)
		stage := wait.Stage(model.ReasonNotConfirmed)
		s.outages.Missing(time.Now().Add(-outage), supplyOf(c), stage)
		s.outages.Missing(time.Now(), supplyOf(c), stage)
		s.outages.Available(supplyOf(c))
		refusal := requireRefusedAfter(t, s, c, 0)
		require.GreaterOrEqual(t, refusal.RetryAfter, outage)
	})
}

// TestWriteIsRefusedOnceAnOutageLastsTooLong guards against callers that are held until their deadline by an outage whose end is unknown.
func TestWriteIsRefusedOnceAnOutageLastsTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const timeout = 2 * time.Second
		s, c := newServerWithoutPrimary(timeout)
		refusal := requireRefusedAfter(t, s, c, timeout/2)
		require.GreaterOrEqual(t, refusal.RetryAfter, timeout/2-placementPollInterval)
	})
}
