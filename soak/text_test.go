package soak

import (
	"math/rand/v2"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/require"
)

// TestUnusualTextCanStandInAMessage requires that drawn text holds its core, can be sent in one message, and holds each of the unusual texts in
// a good part of the cases.
func TestUnusualTextCanStandInAMessage(t *testing.T) {
	const draws = 2000
	source, drawn, plain := &texts{random: rand.New(rand.NewPCG(1, textStream))}, strings.Builder{}, 0
	for range draws {
		word, text := source.word("s1-1"), source.text("s1-1=2")
		require.NotContains(t, word, " ")
		for core, drawnText := range map[string]string{"s1-1": word, "s1-1=2": text} {
			require.Contains(t, drawnText, core)
			require.NotContains(t, drawnText, "\r\n")
			require.True(t, utf8.ValidString(drawnText))
		}
		if text == "s1-1=2" {
			plain++
		}
		drawn.WriteString(word + "|" + text + "|")
	}
	require.InDelta(t, draws/2, plain, draws/10)
	for _, text := range append([]string{"\r|", "\n|", " |"}, unusualTexts...) {
		require.Contains(t, drawn.String(), text)
	}
}

// TestUnusualTextHasAStreamOfItsOwn guards against seeds whose statements change with the text of callers.
func TestUnusualTextHasAStreamOfItsOwn(t *testing.T) {
	s := &site{config: Config{Seed: 7}}
	c, undisturbed := s.newCaller(2), rand.New(rand.NewPCG(7, 102))
	for range 100 {
		c.texts.word("x")
		c.texts.text("x")
		c.texts.prepares()
		require.Equal(t, undisturbed.Uint64(), c.random.Uint64())
	}
}

func TestProbesSendPlainText(t *testing.T) {
	var none *texts
	require.Equal(t, "x", none.word("x"))
	require.Equal(t, "x", none.text("x"))
	require.False(t, none.prepares())
}
