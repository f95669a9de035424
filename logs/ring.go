package logs

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
)

// maxBatchBytes is the size of a write at which no more lines are added to it.
const maxBatchBytes = 16 << 10

// Ring is a writer that buffers a bounded number of lines and writes them from one goroutine. Lines beyond the bound are dropped and
// counted.
type Ring struct {
	lines chan []byte
	out   io.Writer
	// pending counts the buffered lines, including those of a write in progress; dropped counts the lines dropped since the last report.
	pending   atomic.Int64
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
}

// NewRing returns a ring that buffers up to size lines for out, including those of a write in progress.
func NewRing(out io.Writer, size int) *Ring {
	r := &Ring{lines: make(chan []byte, size), out: out, done: make(chan struct{})}
	go r.drain()
	return r
}

// Write takes one line; it never blocks and never fails.
func (r *Ring) Write(line []byte) (int, error) {
	if r.pending.Add(1) > int64(cap(r.lines)) {
		r.pending.Add(-1)
		r.dropped.Add(1)
		return len(line), nil
	}
	// This does not block: the channel has as much capacity as the bound on buffered lines.
	r.lines <- append([]byte(nil), line...)
	return len(line), nil
}

// Close writes the remaining lines and waits for that; Write must not be called afterwards.
func (r *Ring) Close() {
	r.closeOnce.Do(func() { close(r.lines) })
	<-r.done
}

func (r *Ring) drain() {
	defer close(r.done)
	for line := range r.lines {
		batch, count := r.collect(line)
		if n := r.dropped.Swap(0); n > 0 {
			batch = append(batch, "level=warn msg=\"log lines dropped\" count="+strconv.FormatInt(n, 10)+"\n"...)
		}
		if _, err := r.out.Write(batch); err != nil {
			// The error cannot be reported anywhere else; the next report counts the lines as dropped.
			r.dropped.Add(count)
		}
		r.pending.Add(-count)
	}
}

// collect joins first and the lines that wait after it, up to maxBatchBytes, and returns the number of lines.
func (r *Ring) collect(first []byte) ([]byte, int64) {
	batch, count := first, int64(1)
	for len(r.lines) > 0 && len(batch) < maxBatchBytes {
		batch = append(batch, <-r.lines...)
		count++
	}
	return batch, count
}
