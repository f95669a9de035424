package conns

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
)

// TestConnectionsServeAllTeamsWhileTheInstanceTakesNoMore guards against connections that stay with one team each. After a power loss all
// VMs start at once: for three seconds the instances still count the connections of the ended processes and take only a few new ones.
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
	require.NoError(t, err, "the idle connection of a is replaced by one of b at once")
	require.True(t, d.conns[0].closed)
	_, err = p.Get(clock.Now(), request("c", 20*time.Millisecond))
	require.ErrorIs(t, err, ErrBusy, "the replacement does not raise the number of connections")
	p.Put(clock.Now(), b)
}
