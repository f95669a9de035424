package stand

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

type (
	commit struct {
		mark   model.Mark
		writes []write
		at     time.Time
	}

	write struct {
		id   model.RequestID
		item string
		data string
	}

	// commitLog is the log of an instance with indexes of its items and writes, so that neither a read nor the audit scans it. Positions in it
	// are consecutive and begin at 1.
	commitLog struct {
		entries []commit
		// values holds the values of each item, oldest first.
		values map[string][]string
		// counts holds how many times each write is in the log.
		counts map[model.RequestID]int
	}
)

// end returns the end of the log.
func (l *commitLog) end() model.Mark {
	if len(l.entries) == 0 {
		return model.Mark{Term: 1}
	}
	return l.entries[len(l.entries)-1].mark
}

// add appends a commit.
func (l *commitLog) add(entry commit) {
	if l.values == nil {
		l.values, l.counts = map[string][]string{}, map[model.RequestID]int{}
	}
	l.entries = append(l.entries, entry)
	for _, w := range entry.writes {
		l.values[w.item] = append(l.values[w.item], w.data)
		l.counts[w.id]++
	}
}

// truncate removes all commits beyond the first n.
func (l *commitLog) truncate(n int) {
	for last := len(l.entries) - 1; last >= n; last-- {
		for _, w := range l.entries[last].writes {
			l.values[w.item] = l.values[w.item][:len(l.values[w.item])-1]
			l.counts[w.id]--
		}
		l.entries = l.entries[:last]
	}
}

// value returns the newest value of an item, which is empty if there is none.
func (l *commitLog) value(item string) string {
	values := l.values[item]
	if len(values) == 0 {
		return ""
	}
	return values[len(values)-1]
}

// holds reports whether the commit with this position and term is in the log; a log that reaches further may hold another commit there.
func (l *commitLog) holds(mark model.Mark) bool {
	position := int(mark.Position)
	return position >= 1 && position <= len(l.entries) && l.entries[position-1].mark == mark
}

// commonPrefix returns the length of the common prefix of two logs, in commits.
func (l *commitLog) commonPrefix(other *commitLog) int {
	n := 0
	for n < len(l.entries) && n < len(other.entries) && l.entries[n].mark == other.entries[n].mark {
		n++
	}
	return n
}
