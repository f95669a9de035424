package remote

import (
	"encoding/gob"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
)

// TestOwnerGetsTheValuesOfTheSession guards against a statement that runs on a connection of another VM with the values of an earlier statement or of
// another session.
func TestOwnerGetsTheValuesOfTheSession(t *testing.T) {
	values := make(chan map[string]string, 1)
	source := newSource(startScriptedOwner(t, func(r Request, out *gob.Encoder, _ net.Conn) {
		values <- r.Values
		_ = out.Encode(answerTo(r))
	}))
	c := get(t, source, time.Second)
	first, second := map[string]string{"zone": "a"}, map[string]string{"zone": "b", "place": "c"}
	require.NoError(t, c.Setup(inOneSecond(), first, nil))
	_, err := c.Run(inOneSecond(), model.Query{ID: "1", Kind: model.CommandRead, Text: "READ item"})
	require.NoError(t, err)
	require.Equal(t, first, <-values)
	prepared := model.Prepared{Shape: "shape"}
	require.NoError(t, c.Setup(inOneSecond(), second, &prepared))
	_, err = c.Execute(inOneSecond(), prepared, model.Query{ID: "2", Kind: model.CommandExecute}, "item")
	require.NoError(t, err)
	require.Equal(t, second, <-values)
	source.Put(clock.Now(), c)
	other := get(t, source, time.Second)
	require.NoError(t, other.Setup(inOneSecond(), map[string]string{}, nil))
	_, err = other.Run(inOneSecond(), model.Query{ID: "3", Kind: model.CommandRead, Text: "READ item"})
	require.NoError(t, err)
	require.Empty(t, <-values)
}
