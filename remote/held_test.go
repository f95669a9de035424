package remote

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
)

// TestStreamWithATransactionRunsNothingOfAnotherTeam guards against a statement on the connection of another team, inside its transaction.
func TestStreamWithATransactionRunsNothingOfAnotherTeam(t *testing.T) {
	owner, source := newTestOwner(t, 1)
	c := get(t, source, time.Second)
	_, err := c.Run(inOneSecond(), model.Query{ID: "b", Kind: model.CommandBegin, Text: "BEGIN"})
	require.NoError(t, err)
	other, ok := c.(*Conn)
	require.True(t, ok)
	other.request.Team = "crew"
	_, err = other.Run(inOneSecond(), model.Query{ID: "w", Kind: model.CommandWrite, Text: "WRITE item data"})
	requireIs(t, err, model.ErrNotSent)
	other.request.Team = teamName
	_, err = other.Run(inOneSecond(), model.Query{ID: "c", Kind: model.CommandCommit, Text: "COMMIT"})
	require.NoError(t, err)
	require.Zero(t, owner.cluster.CommitCount("w"))
	source.Put(clock.Now(), other)
}
