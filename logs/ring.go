package logs

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBatchBytes is the size of a write at which no more lines are added to it.
	maxBatchBytes = 16 << 10
	// closeTimeout bounds the wait of Close for a slow output.
	closeTimeout = 200 * time.Millisecond
)

// Ring is a writer that buffers a bounded number of lines and writes them from one goroutine. Lines beyond the bound are dropped and
// counted.
type Ring struct {
	lines chan []byte
	out   io.Writer
	// pending counts the buffered lines, including those of a write in progress; dropped counts the lines dropped since the last report.
	pending   atomic.Int64
	dropped   atomic.Int64
	closeOnce sync.Once
	// closing is closed by Close, and done once the remaining lines are written.
	closing, done chan struct{}
}

// NewRing returns a ring that buffers up to size lines for out, including those of a write in progress.
func NewRing(out io.Writer, size int) *Ring {
	r := &Ring{lines: make(chan []byte, size), out: out, closing: make(chan struct{}), done: make(chan struct{})}
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

// Close writes the remaining lines and waits for that, but no longer than closeTimeout. Later lines are dropped.
func (r *Ring) Close() {
	r.closeOnce.Do(func() { close(r.closing) })
	select {
	case <-r.done:
	case <-time.After(closeTimeout):
	}
}

// drain writes lines until Close is called, and then the remaining ones.
func (r *Ring) drain() {
	defer close(r.done)
	for {
		select {
		case line := <-r.lines:
			r.write(line)
		case <-r.closing:
			r.writeRemaining()
			return
		}
	}
}

func (r *Ring) writeRemaining() {
	for {
		select {
		case line := <-r.lines:
			r.write(line)
		default:
			return
		}
	}
}

// write writes a line and those that wait after it.
func (r *Ring) write(line []byte) {
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

// collect joins first and the lines that wait after it, up to maxBatchBytes, and returns the number of lines.
func (r *Ring) collect(first []byte) ([]byte, int64) {
	batch, count := first, int64(1)
	for len(r.lines) > 0 && len(batch) < maxBatchBytes {
		batch = append(batch, <-r.lines...)
		count++
	}
	return batch, count
}
