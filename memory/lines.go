package memory

import (
	"sync"
	"time"
)

// maxLines is the maximum number of log lines a second about messages and connections that were refused as invalid. An ordinary client causes none.
const maxLines = 50

// Lines limits the log lines that any client can cause; it is safe for concurrent use. The zero value has written none.
type Lines struct {
	mu sync.Mutex
	// since is the beginning of the present second, and written the number of lines in it.
	since   time.Time
	written int
}

// Allow reports whether one more line may be written now, and counts it in counts if not.
func (l *Lines) Allow(now time.Time, counts *Counts) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.since) >= time.Second {
		l.since, l.written = now, 0
	}
	if l.written >= maxLines {
		counts.Add(KindLogLine)
		return false
	}
	l.written++
	return true
}
