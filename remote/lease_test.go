package remote

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/model"
)

// TestLeaseIsCheckedAfterASwitchToTheOwnConnection guards against a write that is sent to a replaced primary: the check came before a wait for the
// connection.
func TestLeaseIsCheckedAfterASwitchToTheOwnConnection(t *testing.T) {
	const wait = 100 * time.Millisecond
	first, _ := newTestOwner(t, 1)
	own, _ := newTestOwner(t, 1)
	source := NewSource(SourceConfig{
		Client: NewClient(), Pool: own.pool, BeginPrimaryUse: own.BeginPrimaryUse,
		Owners: func(model.InstanceName, model.TeamName) []Owner {
			return []Owner{{Address: first.address}, {Self: true}}
		},
	})
	now := clock.Now()
	held, err := own.pool.Get(now, conns.Request{Instance: own.instance, Team: teamName, Deadline: now.Add(time.Second)})
	require.NoError(t, err)
	time.AfterFunc(wait, func() { own.pool.Put(clock.Now(), held) })
	first.server.StopAccepting()
	c, err := source.Get(now, conns.Request{Instance: own.instance, Team: teamName, Deadline: now.Add(time.Second), Term: 1})
	require.NoError(t, err)
	require.NoError(t, c.Setup(inOneSecond(), map[string]string{"zone": "x"}, nil))
	own.setLeased(false)
	_, err = c.Run(inOneSecond(), model.Query{ID: "w", Kind: model.CommandWrite, Text: "WRITE item data"})
	requireIs(t, err, ErrLease)
	requireIs(t, err, model.ErrNotSent)
	require.Zero(t, own.cluster.CommitCount("w"))
}

// TestRequestOfAnOlderProgramIsNotRun guards against answers that cannot be told to belong to their statement: an older program does not say which kind
// of statement it sends.
func TestRequestOfAnOlderProgramIsNotRun(t *testing.T) {
	owner, source := newTestOwner(t, 1)
	_, err := get(t, source, time.Second).Run(inOneSecond(), model.Query{ID: "w", Text: "WRITE item data"})
	requireIs(t, err, model.ErrNotSent)
	require.Zero(t, owner.cluster.CommitCount("w"))
}
