package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/check"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/owner"
	"github.com/crocusshore/crocusshore/token"
	"github.com/crocusshore/crocusshore/tree"
	"github.com/crocusshore/crocusshore/view"
)

// The next two tests make a wrong decision on purpose and require that the assertion after it records a violation.

func TestAcknowledgeRecordsViolationForReplacedTerm(t *testing.T) {
	s := &Server{}
	c := &call{id: "r", route: tree.Route{Group: "G"}}
	placement := view.Placement{Term: 2, Primary: "A"}
	s.acknowledge(c, placement, owner.Response{Mark: model.Mark{Term: 2, Position: 1}})
	require.Zero(t, s.violations.Count())
	s.acknowledge(c, placement, owner.Response{Mark: model.Mark{Term: 1, Position: 1}})
	require.Equal(t, 1, s.violations.Count())
	require.Contains(t, s.violations.List()[0], string(check.NoReplacedAck))
}

func TestAssertReadRecordsViolationForAnswerOlderThanSession(t *testing.T) {
	s := &Server{}
	session := token.Session{}.WithMark("G", model.Mark{Term: 2, Position: 9})
	c := &call{id: "r", route: tree.Route{Group: "G"}, session: session}
	s.assertRead(c, reply{session: session.WithMark("G", model.Mark{Term: 2, Position: 10})})
	require.Zero(t, s.violations.Count())
	s.assertRead(c, reply{session: token.Session{}.WithMark("G", model.Mark{Term: 2, Position: 8})})
	require.Equal(t, 1, s.violations.Count())
	require.Contains(t, s.violations.List()[0], string(check.ReadYourWrites))
}

// TestWriteIsNotAcknowledgedWithoutConfirmedView guards against acknowledging a write of another term or without a
// confirmation that is younger than WriteBound.
func TestWriteIsNotAcknowledgedWithoutConfirmedView(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &Server{views: view.NewCache("boot"), now: func() time.Time { return now }}
	change := view.Change{Version: 1}
	require.NoError(t, change.Put(view.PlacementKey("G"), view.Placement{Term: 3, Primary: "A"}))
	require.NoError(t, s.views.Apply([]view.Change{change}))
	require.False(t, s.mayAcknowledge("G", 3), "never confirmed")
	s.views.Confirm(view.Confirmation{Version: 1, At: now})
	require.True(t, s.mayAcknowledge("G", 3))
	require.False(t, s.mayAcknowledge("G", 2), "another term")
	now = now.Add(s.views.State().FleetSettings().WriteBound)
	require.False(t, s.mayAcknowledge("G", 3), "the confirmation has expired")
}

// TestRequestBeforeSettingsAreReadIsRefusedAsNotConfirmed guards against a VM that just started and refuses the routes of all callers as
// unknown, since it has not read the settings.
func TestRequestBeforeSettingsAreReadIsRefusedAsNotConfirmed(t *testing.T) {
	s := &Server{views: view.NewCache("boot"), now: time.Now}
	_, _, err := s.authorize(t.Context(), "OrdersTruss1", "")
	var refusal *model.Refusal
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, model.ReasonNotConfirmed, refusal.Reason)
	require.Positive(t, refusal.RetryAfter)

	require.NoError(t, s.views.Apply([]view.Change{{Version: 1}}))
	_, _, err = s.authorize(t.Context(), "OrdersTruss1", "")
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, model.ReasonNoRoute, refusal.Reason)
}
