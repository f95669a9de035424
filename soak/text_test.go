package soak

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
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
		c.texts.choose("x", []string{"y", "z"})
		require.Equal(t, undisturbed.Uint64(), c.random.Uint64())
	}
}

func TestProbesSendPlainText(t *testing.T) {
	var none *texts
	require.Equal(t, "x", none.word("x"))
	require.Equal(t, "x", none.text("x"))
	require.False(t, none.prepares())
	require.Equal(t, "x", none.choose("x", []string{"y"}))
}

// TestStockHoldsEachUnusualText requires that each text stands in a row from the beginning, and that callers read it.
func TestStockHoldsEachUnusualText(t *testing.T) {
	members := []model.Instance{{Name: "i-1", Group: "g", Role: model.RolePrimary, Slots: 3}, {Name: "i-2", Group: "g", Role: model.RoleReplica}}
	cluster := stand.NewCluster(stand.ClusterConfig{Group: "g", Instances: members})
	s := &site{ctx: t.Context(), history: newHistory(), stock: map[model.GroupName][]string{}}
	go s.replicate(cluster)
	require.NoError(t, s.addStock(cluster, members[0]))
	require.Len(t, s.stock["g"], len(unusualTexts))
	conn, err := cluster.Dial(time.Now().Add(time.Second), members[0], "t")
	require.NoError(t, err)
	c := &caller{site: s, name: "s", random: rand.New(rand.NewPCG(1, 1)), texts: &texts{random: rand.New(rand.NewPCG(1, 2))}, route: route{group: "g"}}
	c.nextItem()
	read := map[string]bool{}
	for range 2000 {
		read[c.anyItem()] = true
	}
	for n, item := range s.stock["g"] {
		replies, err := conn.Exchange(time.Now().Add(time.Second), model.Query{ID: "r", Text: "READ " + item})
		require.NoError(t, err)
		require.Contains(t, replies[0].Rows[0], unusualTexts[n])
		s.history.checkRead(item, replies[0].Rows[0], 1, "reader")
		require.True(t, read[item])
	}
	require.Empty(t, s.history.violations)
}
