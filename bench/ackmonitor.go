package bench

import (
	"slices"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/load"
	"github.com/crocusshore/crocusshore/model"
)

// ackMonitor records the acknowledgements of writes that callers receive; it is safe for concurrent use.
type ackMonitor struct {
	mu   sync.Mutex
	acks map[model.GroupName][]time.Time
	// highestTerms holds the highest term of an acknowledgement, and termSince when the first acknowledgement of that term was received.
	highestTerms    map[model.GroupName]model.Term
	termSince       map[model.GroupName]time.Time
	wrongAcks       int
	unknownOutcomes int
}

func newAckMonitor() *ackMonitor {
	return &ackMonitor{
		acks:         map[model.GroupName][]time.Time{},
		highestTerms: map[model.GroupName]model.Term{},
		termSince:    map[model.GroupName]time.Time{},
	}
}

// observe records a sample. An acknowledgement is wrong if one of a higher term was received for the same group before it.
func (m *ackMonitor) observe(sample load.Sample) {
	if !sample.Write {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if refusal := sample.Answer.Refusal; refusal != nil {
		if refusal.Outcome == model.Unknown {
			m.unknownOutcomes++
		}
		return
	}
	done := sample.SentAt.Add(sample.Latency)
	m.acks[sample.Group] = append(m.acks[sample.Group], done)
	term := sample.Answer.Mark.Term
	switch {
	case term > m.highestTerms[sample.Group]:
		m.highestTerms[sample.Group] = term
		m.termSince[sample.Group] = done
	case term < m.highestTerms[sample.Group] && done.After(m.termSince[sample.Group]):
		m.wrongAcks++
	}
}

// longestGap returns the length of the longest gap between the acknowledgements of a group. Only gaps that overlap the interval count. A
// gap that is still open counts up to the end of the interval.
func (m *ackMonitor) longestGap(group model.GroupName, from, to time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	acks := slices.Clone(m.acks[group])
	slices.SortFunc(acks, time.Time.Compare)
	last := from
	var longest time.Duration
	for _, at := range acks {
		if at.Before(from) {
			last = at
			continue
		}
		longest = max(longest, at.Sub(last))
		last = at
		if at.After(to) {
			return longest
		}
	}
	return max(longest, to.Sub(last))
}

func (m *ackMonitor) counts() (wrong, unknown int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wrongAcks, m.unknownOutcomes
}
