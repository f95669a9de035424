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

// TestOwnerReportsAFailingInstanceAtOnce guards against repeated waits for an unreachable instance: each of many VMs sent a statement to
// the owner of the connections, where it waited until its timeout although the owner had already recorded failures of the instance.
func TestOwnerReportsAFailingInstanceAtOnce(t *testing.T) {
	owner, source := newTestOwner(t, 1)
	owner.cluster.SetFaults("i-1", stand.DatabaseFaults{Unresponsive: true})
	owner.setFailing(true)
	startedAt := clock.Now()
	_, err := get(t, source, time.Second).Run(inOneSecond(), model.Query{ID: "w", Kind: model.CommandWrite, Text: "WRITE item data"})
	requireIs(t, err, model.ErrNotSent)
	requireIsNot(t, err, conns.ErrBusy, "the failure is the instance's")
	require.Less(t, clock.Now().Sub(startedAt), 100*time.Millisecond)
	require.Empty(t, owner.failures, "nothing was attempted")
	owner.cluster.SetFaults("i-1", stand.DatabaseFaults{})
	state, err := get(t, source, time.Second).Status(inOneSecond())
	require.NoError(t, err, "status requests are sent, to find out whether it answers again")
	require.Equal(t, model.RolePrimary, state.Role)
}

// TestTransactionThatFailedIsNotEndedOnAnotherConnection guards against a ROLLBACK that runs outside its transaction: the owner had closed the connection
// of the transaction, and the VM that asked did not know it.
func TestTransactionThatFailedIsNotEndedOnAnotherConnection(t *testing.T) {
	owner, source := newTestOwner(t, 1)
	c := get(t, source, time.Second)
	_, err := c.Run(inOneSecond(), model.Query{ID: "b", Kind: model.CommandBegin, Text: "BEGIN"})
	require.NoError(t, err)
	require.False(t, c.Broken())
	ahead := model.Mark{Term: 1, Position: 99}
	reply, err := c.Run(inOneSecond(), model.Query{ID: "q", Kind: model.CommandRead, Text: "READ item", Since: ahead})
	require.NoError(t, err)
	require.Equal(t, model.FaultLagging, reply.Fault)
	require.True(t, c.Broken())
	used, _ := owner.pool.InUse("i-1")
	require.Zero(t, used, "the connection was closed with its transaction")
	source.Put(clock.Now(), c)
	reply, err = get(t, source, time.Second).Run(inOneSecond(), model.Query{ID: "r", Kind: model.CommandRead, Text: "READ item"})
	require.NoError(t, err)
	require.Empty(t, reply.Fault)
}
