package conns

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
)

// TestConnectionsServeAllTeamsWhileTheInstanceTakesNoMore replays the start of all VMs after a loss of power: instances still count the
// connections of the dead processes for three seconds, and the few that they take served one team each.
func TestConnectionsServeAllTeamsWhileTheInstanceTakesNoMore(t *testing.T) {
	p, d := newPool(5)
	a, err := p.Get(clock.Now(), request("a", 50*time.Millisecond))
	require.NoError(t, err)
	d.err = &model.RefusedError{Fault: model.FaultTooMany}
	_, err = p.Get(clock.Now(), request("b", 50*time.Millisecond))
	require.Error(t, err)
	d.err = nil
	p.Put(clock.Now(), a)
	b, err := p.Get(clock.Now(), request("b", 50*time.Millisecond))
	require.NoError(t, err, "the connection of a makes room for one of b at once")
	require.True(t, d.links[0].closed)
	_, err = p.Get(clock.Now(), request("c", 20*time.Millisecond))
	require.ErrorIs(t, err, ErrBusy, "no more than before")
	p.Put(clock.Now(), b)
}
