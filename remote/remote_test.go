package remote

import (
	"net"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
)

func TestStatementsRunOnTheConnectionsOfAnotherVM(t *testing.T) {
	_, source := newTestOwner(t, 1)
	c := get(t, source, time.Second)
	require.NoError(t, c.Setup(inOneSecond(), map[string]string{"zone": "a"}, nil))
	reply, err := c.Run(inOneSecond(), model.Query{ID: "q1", Kind: model.CommandWrite, Text: "WRITE item data"})
	require.NoError(t, err)
	require.Empty(t, reply.Fault)
	require.NotEmpty(t, reply.Proof)
	prepared := model.Prepared{Shape: "shape"}
	require.NoError(t, c.Setup(inOneSecond(), map[string]string{"zone": "a"}, &prepared))
	reply, err = c.Execute(inOneSecond(), prepared, model.Query{ID: "q2", Kind: model.CommandExecute}, "item")
	require.NoError(t, err)
	require.Equal(t, []string{"data"}, reply.Rows)
	state, err := c.Status(inOneSecond())
	require.NoError(t, err)
	require.Equal(t, model.RolePrimary, state.Role)
	source.Put(clock.Now(), c)
}

func TestTransactionKeepsItsConnection(t *testing.T) {
	owner, source := newTestOwner(t, 1)
	c := get(t, source, time.Second)
	reply, err := c.Run(inOneSecond(), model.Query{ID: "b", Kind: model.CommandBegin, Text: "BEGIN"})
	require.NoError(t, err)
	require.Equal(t, model.TxOpen, reply.State)
	other := get(t, source, 20*time.Millisecond)
	_, err = other.Run(inOneSecond(), model.Query{ID: "q", Kind: model.CommandRead, Text: "READ item"})
	requireIs(t, err, conns.ErrBusy)
	requireIs(t, err, model.ErrNotSent)
	reply, err = c.Run(inOneSecond(), model.Query{ID: "w", Kind: model.CommandWrite, Text: "WRITE item data"})
	require.NoError(t, err)
	require.Equal(t, model.TxOpen, reply.State)
	owner.setLeased(false)
	_, err = c.Run(inOneSecond(), model.Query{ID: "c", Kind: model.CommandCommit, Text: "COMMIT"})
	requireIs(t, err, ErrLease, "the owner of the connection checks the lease itself")
	owner.setLeased(true)
	reply, err = c.Run(inOneSecond(), model.Query{ID: "r", Kind: model.CommandRollback, Text: "ROLLBACK"})
	require.NoError(t, err)
	require.Equal(t, model.TxNone, reply.State)
	reply, err = other.Run(inOneSecond(), model.Query{ID: "q", Kind: model.CommandRead, Text: "READ item"})
	require.NoError(t, err, "the connection is free again")
	require.NotContains(t, reply.Rows, "data")
	require.Zero(t, owner.primaryUses)
}

func TestTransactionOfAVMThatEndsIsRolledBack(t *testing.T) {
	owner, source := newTestOwner(t, 1)
	c := get(t, source, time.Second)
	_, err := c.Run(inOneSecond(), model.Query{ID: "b", Kind: model.CommandBegin, Text: "BEGIN"})
	require.NoError(t, err)
	_, err = c.Run(inOneSecond(), model.Query{ID: "w", Kind: model.CommandWrite, Text: "WRITE item data"})
	require.NoError(t, err)
	c.Break()
	source.Put(clock.Now(), c)
	require.Eventually(t, func() bool { used, _ := owner.pool.InUse("i-1"); return used == 0 }, time.Second, time.Millisecond)
	reply, err := get(t, source, time.Second).Run(inOneSecond(), model.Query{ID: "q", Kind: model.CommandRead, Text: "READ item"})
	require.NoError(t, err)
	require.NotContains(t, reply.Rows, "data")
}

func TestErrorsStateWhetherTheStatementWasSent(t *testing.T) {
	owner, source := newTestOwner(t, 1)
	owner.setLeased(false)
	_, err := get(t, source, time.Second).Run(inOneSecond(), model.Query{ID: "w", Kind: model.CommandWrite, Text: "WRITE item data"})
	requireIs(t, err, model.ErrNotSent)
	requireIsNot(t, err, model.ErrNoAnswer)
	owner.setLeased(true)
	owner.cluster.SetFaults("i-1", stand.DatabaseFaults{LoseAnswers: true})
	_, err = get(t, source, time.Second).Run(inOneSecond(), model.Query{ID: "w", Kind: model.CommandWrite, Text: "WRITE item data"})
	requireIs(t, err, model.ErrNoAnswer)
	requireIsNot(t, err, model.ErrNotSent)
	requireIsNot(t, err, ErrOwnerNoAnswer, "the other VM did answer")
	owner.cluster.SetFaults("i-1", stand.DatabaseFaults{Down: true})
	_, err = get(t, source, time.Second).Run(inOneSecond(), model.Query{ID: "w", Kind: model.CommandWrite, Text: "WRITE item data"})
	requireIs(t, err, model.ErrNotSent, "no connection was opened")
	requireIsNot(t, err, conns.ErrBusy, "the failure is the instance's")
	now := clock.Now()
	unknown, err := source.Get(now, conns.Request{Instance: model.Instance{Name: "i-9"}, Deadline: now.Add(time.Second)})
	require.NoError(t, err)
	_, err = unknown.Run(inOneSecond(), model.Query{ID: "w", Kind: model.CommandWrite, Text: "WRITE item data"})
	requireIs(t, err, model.ErrNotSent)
}

func TestVMThatDoesNotAnswerIsSkipped(t *testing.T) {
	owner, _ := newTestOwner(t, 2)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	source := newSource(netip.MustParseAddrPort(silent.Addr().String()), owner.address)
	c := get(t, source, time.Second)
	_, err = c.Run(clock.Now().Add(50*time.Millisecond), model.Query{ID: "w", Kind: model.CommandWrite, Text: "WRITE item data"})
	requireIs(t, err, model.ErrNoAnswer, "it may have forwarded the statement")
	requireIs(t, err, ErrOwnerNoAnswer)
	require.True(t, c.Broken())
	source.Put(clock.Now(), c)
	_, err = get(t, source, time.Second).Run(inOneSecond(), model.Query{ID: "w2", Kind: model.CommandWrite, Text: "WRITE item data"})
	require.NoError(t, err, "the next owner serves")
}

func TestNoReachableOwnerSendsNothing(t *testing.T) {
	source := newSource(netip.MustParseAddrPort("127.0.0.1:1"))
	now := clock.Now()
	_, err := source.Get(now, conns.Request{Instance: model.Instance{Name: "i-1"}, Deadline: now.Add(time.Second)})
	requireIs(t, err, conns.ErrBusy)
}

func TestStreamClosedByTheOwnerIsNotUsed(t *testing.T) {
	owner, source := newTestOwner(t, 1)
	c := get(t, source, time.Second)
	_, err := c.Run(inOneSecond(), model.Query{ID: "q", Kind: model.CommandRead, Text: "READ item"})
	require.NoError(t, err)
	source.Put(clock.Now(), c)
	idleStreams := source.config.Client.idle[owner.address]
	require.Len(t, idleStreams, 1)
	require.NoError(t, idleStreams[0].conn.Close())
	_, err = get(t, source, time.Second).Run(inOneSecond(), model.Query{ID: "w", Kind: model.CommandWrite, Text: "WRITE item data"})
	require.NoError(t, err)
}

func TestInvalidDataEndsAStream(t *testing.T) {
	owner, source := newTestOwner(t, 1)
	conn, err := net.Dial("tcp", owner.address.String())
	require.NoError(t, err)
	_, err = conn.Write([]byte(strings.Repeat("GET / HTTP/1.1\r\n", 20)))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = conn.Read(make([]byte, 1))
	require.Error(t, err)
	require.False(t, errors.Is(err, os.ErrDeadlineExceeded), "the stream is closed, not ignored")
	_, err = get(t, source, time.Second).Run(inOneSecond(), model.Query{ID: "q", Kind: model.CommandRead, Text: "READ item"})
	require.NoError(t, err)
}

func TestStoppingVMIsReplacedByTheNextWithNothingSent(t *testing.T) {
	first, _ := newTestOwner(t, 1)
	second, _ := newTestOwner(t, 1)
	source := newSource(first.address, second.address)
	inside := get(t, source, time.Second)
	_, err := inside.Run(inOneSecond(), model.Query{ID: "b", Kind: model.CommandBegin, Text: "BEGIN"})
	require.NoError(t, err)
	first.server.StopAccepting()
	require.Equal(t, 1, first.server.ConnectionsInUse())
	c := get(t, source, time.Second)
	_, err = c.Run(inOneSecond(), model.Query{ID: "w", Kind: model.CommandWrite, Text: "WRITE item data"})
	require.NoError(t, err)
	source.Put(clock.Now(), c)
	require.Equal(t, 1, second.cluster.CommitCount("w"))
	require.Zero(t, first.cluster.CommitCount("w"))
	_, err = inside.Run(inOneSecond(), model.Query{ID: "i", Kind: model.CommandWrite, Text: "WRITE item inside"})
	require.NoError(t, err, "an open transaction continues")
	_, err = inside.Run(inOneSecond(), model.Query{ID: "c", Kind: model.CommandCommit, Text: "COMMIT"})
	require.NoError(t, err)
	require.Zero(t, first.server.ConnectionsInUse())
	second.server.StopAccepting()
	_, err = get(t, source, time.Second).Run(inOneSecond(), model.Query{ID: "w3", Kind: model.CommandWrite, Text: "WRITE item data"})
	requireIs(t, err, model.ErrNotSent)
	requireIs(t, err, conns.ErrBusy)
}

func TestVMThatIsTheNextOwnerUsesItsOwnConnection(t *testing.T) {
	first, _ := newTestOwner(t, 1)
	own, _ := newTestOwner(t, 1)
	source := NewSource(SourceConfig{Client: NewClient(), Pool: own.pool, Owners: func(model.InstanceName, model.TeamName) []Owner {
		return []Owner{{Address: first.address}, {Self: true}}
	}})
	first.server.StopAccepting()
	now := clock.Now()
	c, err := source.Get(now, conns.Request{Instance: own.instance, Team: teamName, Deadline: now.Add(time.Second)})
	require.NoError(t, err)
	_, err = c.Run(inOneSecond(), model.Query{ID: "w", Kind: model.CommandWrite, Text: "WRITE item data"})
	require.NoError(t, err)
	require.Equal(t, 1, own.cluster.CommitCount("w"))
	source.Put(clock.Now(), c)
	used, _ := own.pool.InUse("i-1")
	require.Zero(t, used)
}
