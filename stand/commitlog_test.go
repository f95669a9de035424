package stand

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

// scannedValue and scannedCount are what the indexes have to equal.
func scannedValue(l *commitLog, item string) string {
	value := ""
	for _, entry := range l.entries {
		for _, w := range entry.writes {
			if w.item == item {
				value = w.data
			}
		}
	}
	return value
}

func scannedCount(l *commitLog, id model.RequestID) int {
	count := 0
	for _, entry := range l.entries {
		for _, w := range entry.writes {
			if w.id == id {
				count++
			}
		}
	}
	return count
}

func scannedHolds(l *commitLog, mark model.Mark) bool {
	for _, entry := range l.entries {
		if entry.mark == mark {
			return true
		}
	}
	return false
}

// TestIndexesOfALogEqualAScan adds and removes commits at random, among them writes that are repeated.
func TestIndexesOfALogEqualAScan(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		l := &commitLog{}
		for step := range 300 {
			if random.IntN(20) == 0 {
				l.truncate(random.IntN(len(l.entries) + 1))
			}
			var writes []write
			for range 1 + random.IntN(3) {
				writes = append(writes, write{
					id: model.RequestID(fmt.Sprint(random.IntN(40))), item: fmt.Sprint(random.IntN(5)), data: fmt.Sprint(step, random.IntN(100)),
				})
			}
			l.add(commit{mark: model.Mark{Term: model.Term(1 + step/60), Position: l.end().Position + 1}, writes: writes, at: time.Unix(int64(step), 0)})
			for n := range 40 {
				require.Equal(t, scannedCount(l, model.RequestID(fmt.Sprint(n))), l.counts[model.RequestID(fmt.Sprint(n))])
			}
			for item := range 6 {
				require.Equal(t, scannedValue(l, fmt.Sprint(item)), l.value(fmt.Sprint(item)))
			}
			mark := model.Mark{Term: model.Term(1 + random.IntN(6)), Position: model.Position(random.IntN(len(l.entries) + 3))}
			require.Equal(t, scannedHolds(l, mark), l.holds(mark))
		}
	}
}
