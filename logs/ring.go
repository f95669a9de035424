package logs

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
)

// Ring is a writer that keeps a bounded number of lines and writes them from one goroutine; lines beyond the bound are dropped and counted.
type Ring struct {
	lines   chan []byte
	out     io.Writer
	dropped atomic.Int64
	done    chan struct{}
	closing sync.Once
}

// NewRing returns a ring that holds up to size lines for out.
func NewRing(out io.Writer, size int) *Ring {
	r := &Ring{lines: make(chan []byte, size), out: out, done: make(chan struct{})}
	go r.drain()
	return r
}

// Write takes one line; it never blocks and never fails.
func (r *Ring) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case r.lines <- kept:
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what is left.
func (r *Ring) Close() {
	r.closing.Do(func() { close(r.lines) })
	<-r.done
}

func (r *Ring) drain() {
	defer close(r.done)
	for line := range r.lines {
		batch := append([]byte(nil), line...)
		for len(r.lines) > 0 && len(batch) < maxBatch {
			batch = append(batch, <-r.lines...)
		}
		if n := r.dropped.Swap(0); n > 0 {
			batch = append(batch, "level=warn msg=\"log lines dropped\" count="+strconv.FormatInt(n, 10)+"\n"...)
		}
		if _, err := r.out.Write(batch); err != nil {
			// There is nowhere left to report it; the next report counts the line as dropped.
			r.dropped.Add(1)
		}
	}
}

// maxBatch bounds how many bytes go out in one write.
const maxBatch = 16 << 10
