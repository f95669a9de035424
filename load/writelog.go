package load

import (
	"slices"
	"sync"

	"github.com/crocusshore/crocusshore/check"
	"github.com/crocusshore/crocusshore/model"
)

// lineState is the outcome of the write that appends a line; 0 stands for a line that was never sent.
type lineState int

const (
	lineDone lineState = iota + 1
	lineNotRun
	lineUnknown
)

// writeLog records the outcomes of one session's writes. Each write appends a line of its own under the session's key.
// It is safe for concurrent use.
type writeLog struct {
	mu  sync.Mutex
	key string
	// ackedLines holds the acknowledged lines in the order of their acknowledgements.
	ackedLines []string
	state      map[string]lineState
	// lostWrites is set once an answer reported that a failover lost writes; missing lines and the order aren't checked from then on.
	lostWrites bool
}

func newWriteLog(key string) *writeLog {
	return &writeLog{key: key, state: map[string]lineState{}}
}

// record records the outcome of a line.
func (w *writeLog) record(line string, outcome model.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch outcome {
	case model.Done:
		w.state[line] = lineDone
		w.ackedLines = append(w.ackedLines, line)
	case model.NotRun:
		w.state[line] = lineNotRun
	default:
		w.state[line] = lineUnknown
	}
}

// audit checks the rows of a read that was sent after every recorded write had ended. A missing acknowledged line is recorded as a
// violation of the invariant missing.
func (w *writeLog) audit(violations *check.ViolationLog, rows []string, missing check.Invariant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := map[string]int{}
	for _, row := range rows {
		counts[row]++
	}
	for line, count := range counts {
		violations.Assert(count == 1, check.AtMostOnce, "%s holds line %s %d times", w.key, line, count)
		violations.Assert(w.state[line] != lineNotRun, check.TrueRefusal, "%s holds line %s, which was said to be not run", w.key, line)
		violations.Assert(w.state[line] != 0, check.OwnAnswer, "%s holds line %s, which its session never sent", w.key, line)
	}
	if w.lostWrites {
		return
	}
	for _, line := range w.ackedLines {
		violations.Assert(counts[line] > 0, missing, "%s lacks line %s, which was acknowledged; it holds %d lines", w.key, line, len(rows))
	}
	w.auditOrder(violations, rows)
}

// auditOrder checks that the rows hold the acknowledged lines in the order of their acknowledgements.
func (w *writeLog) auditOrder(violations *check.ViolationLog, rows []string) {
	last := -1
	for _, line := range w.ackedLines {
		index := slices.Index(rows, line)
		if index < 0 {
			continue
		}
		violations.Assert(index > last, check.ReadYourWrites, "%s holds line %s out of order", w.key, line)
		last = max(last, index)
	}
}
