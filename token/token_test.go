package token

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

func newSealer(t testing.TB, fill ...byte) *Sealer {
	keys := make([][]byte, 0, len(fill))
	for _, b := range fill {
		keys = append(keys, bytes.Repeat([]byte{b}, KeySize))
	}
	sealer, err := New(keys...)
	require.NoError(t, err)
	return sealer
}

func TestSessionSurvivesKeyRotation(t *testing.T) {
	session := Session{}.WithMark("Truss1", model.Mark{Term: 2, Position: 7})
	text, err := newSealer(t, 1).SealSession(session)
	require.NoError(t, err)
	opened, err := newSealer(t, 2, 1).OpenSession(text)
	require.NoError(t, err)
	require.Equal(t, session, opened)
}

func TestForgedTokensAreRejected(t *testing.T) {
	sealer := newSealer(t, 1)
	text, err := newSealer(t, 9).SealSession(Session{})
	require.NoError(t, err)
	_, err = sealer.OpenSession(text)
	require.ErrorIs(t, err, ErrMalformed)
	transaction, err := sealer.SealTransaction(Transaction{ID: "1"})
	require.NoError(t, err)
	_, err = sealer.OpenSession(transaction)
	require.ErrorIs(t, err, ErrMalformed, "the identifier of a transaction is not a session token")
	_, err = sealer.OpenSession("not base64 !")
	require.ErrorIs(t, err, ErrMalformed)
}

func TestMarkOfASessionNeverMovesBack(t *testing.T) {
	session := Session{}.WithMark("G", model.Mark{Term: 2, Position: 5})
	session = session.WithMark("G", model.Mark{Term: 1, Position: 9})
	require.Equal(t, model.Mark{Term: 2, Position: 5}, session.Marks["G"])
}

func FuzzOpen(f *testing.F) {
	sealer := newSealer(f, 1)
	text, _ := sealer.SealSession(Session{}.WithMark("G", model.Mark{Term: 1, Position: 1}))
	f.Add(text)
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		session, err := sealer.OpenSession(text)
		if err == nil && text != "" {
			require.NotNil(t, session.Marks)
		}
		_, _ = sealer.OpenTransaction(text)
	})
}
