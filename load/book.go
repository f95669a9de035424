package load

import (
	"slices"
	"sync"

	"github.com/crocusshore/crocusshore/check"
	"github.com/crocusshore/crocusshore/model"
)

// lineState is what is known of one line that a session sent.
type lineState int

const (
	lineDone lineState = iota + 1
	lineNotRun
	lineUnknown
)

// book is what one session knows of the lines under its own key.
type book struct {
	mu    sync.Mutex
	key   string
	order []string
	state map[string]lineState
	lost  bool
}

func newBook(key string) *book {
	return &book{key: key, state: map[string]lineState{}}
}

// note records the outcome of a line.
func (b *book) note(line string, outcome model.Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch outcome {
	case model.Done:
		b.state[line] = lineDone
		b.order = append(b.order, line)
	case model.NotRun:
		b.state[line] = lineNotRun
	default:
		b.state[line] = lineUnknown
	}
}

// audit checks rows that were read after everything the book knows.
func (b *book) audit(ledger *check.ViolationLog, rows []string, missing check.Invariant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := map[string]int{}
	for _, row := range rows {
		counts[row]++
	}
	for line, count := range counts {
		ledger.Assert(count == 1, check.AtMostOnce, "%s holds line %s %d times", b.key, line, count)
		ledger.Assert(b.state[line] != lineNotRun, check.TrueRefusal, "%s holds line %s, which was said to be not run", b.key, line)
		ledger.Assert(b.state[line] != 0, check.OwnAnswer, "%s holds line %s, which its session never sent", b.key, line)
	}
	if b.lost {
		return
	}
	for _, line := range b.order {
		ledger.Assert(counts[line] > 0, missing, "%s lacks line %s, which was acknowledged; it holds %d lines", b.key, line, len(rows))
	}
	b.auditOrder(ledger, rows)
}

// auditOrder checks that acknowledged lines stand in the order of their acknowledgements.
func (b *book) auditOrder(ledger *check.ViolationLog, rows []string) {
	last := -1
	for _, line := range b.order {
		at := slices.Index(rows, line)
		if at < 0 {
			continue
		}
		ledger.Assert(at > last, check.ReadYourWrites, "%s holds line %s out of order", b.key, line)
		last = max(last, at)
	}
}
