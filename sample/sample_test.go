package sample

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

func at(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }

func mark(term, position int) model.Mark {
	return model.Mark{Term: model.Term(term), Position: model.Position(position)}
}

func TestLowestRecentPositionCovers(t *testing.T) {
	s := New()
	s.Add("g", Sample{At: at(0), Mark: mark(1, 10)})
	s.Add("g", Sample{At: at(500), Mark: mark(1, 20)})
	s.Add("g", Sample{At: at(1000), Mark: mark(1, 30)})
	found, ok := s.LowestCovering("g", at(100))
	require.True(t, ok)
	require.Equal(t, mark(1, 20), found.Mark)
	_, ok = s.LowestCovering("g", at(1001))
	require.False(t, ok, "a sample taken before the requested instant does not cover it")
	_, ok = s.LowestCovering("other", at(0))
	require.False(t, ok)
}

func TestAddIgnoresAnswersThatArriveOutOfOrder(t *testing.T) {
	s := New()
	s.Add("g", Sample{At: at(100), Mark: mark(1, 10)})
	s.Add("g", Sample{At: at(50), Mark: mark(1, 12)})
	s.Add("g", Sample{At: at(200), Mark: mark(1, 9)})
	last, _ := s.Last("g")
	require.Equal(t, Sample{At: at(100), Mark: mark(1, 10)}, last)
}

func TestPositionsOfAnOlderTermDoNotSurviveAPromotion(t *testing.T) {
	// A position of the old term may lie in a part of the log that the promotion truncated, and that no replica would ever reach.
	s := New()
	s.Add("g", Sample{At: at(0), Mark: mark(1, 100)})
	s.Add("g", Sample{At: at(10), Mark: mark(2, 90)})
	found, ok := s.LowestCovering("g", at(0))
	require.True(t, ok)
	require.Equal(t, mark(2, 90), found.Mark)
}

func TestSamplesStayBounded(t *testing.T) {
	s := New()
	for i := range 10_000 {
		s.Add("g", Sample{At: at(i * 50), Mark: mark(1, i)})
	}
	require.Len(t, s.groups["g"], maxSamples)
}
