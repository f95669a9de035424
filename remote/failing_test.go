package remote

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
)

// TestHomeTellsAtOnceOfAnInstanceThatFails replays a dark instance before a large fleet: each VM found out by itself, with a statement
// that waited for its time limit at the VM with the connections, which knew already.
func TestHomeTellsAtOnceOfAnInstanceThatFails(t *testing.T) {
	h, source := newHost(t, 1)
	h.cluster.SetFaults("i-1", stand.DatabaseFaults{Dark: true})
	h.setFailing(true)
	startedAt := clock.Now()
	_, err := get(t, source, time.Second).Run(soon(), nil, model.Query{ID: "w", Text: "WRITE item data"})
	requireIs(t, err, model.ErrNotSent)
	requireIsNot(t, err, conns.ErrBusy, "it says something of the instance")
	require.Less(t, clock.Now().Sub(startedAt), 100*time.Millisecond)
	require.Empty(t, h.failures, "nothing was tried")
	h.cluster.SetFaults("i-1", stand.DatabaseFaults{})
	state, err := get(t, source, time.Second).Status(soon())
	require.NoError(t, err, "questions for the state find out whether it is back")
	require.Equal(t, model.RolePrimary, state.Role)
}
