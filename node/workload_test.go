package node

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

// workload writes through all nodes until it is stopped, and records the IDs of the writes by outcome: acknowledged, rejected, unknown.
type workload struct {
	mu                       sync.Mutex
	acked, rejected, unknown []string
	stale                    []string
	lastAck                  time.Time
	longestGap               time.Duration
	stop                     chan struct{}
	done                     sync.WaitGroup
}

func (s *site) startWorkload() *workload {
	w := &workload{stop: make(chan struct{}), lastAck: time.Now()}
	for node := range s.nodes {
		for range 2 {
			w.done.Go(func() { w.session(s, node) })
		}
	}
	return w
}

func (w *workload) session(s *site, node int) {
	for {
		c, err := s.dial(node, "quote", "key-1")
		for err == nil {
			select {
			case <-w.stop:
				_ = c.conn.Close()
				return
			default:
			}
			err = w.step(c)
		}
		select {
		case <-w.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (w *workload) step(c *client) error {
	value := fmt.Sprintf("v%d", ids.Add(1))
	id, _, end, err := c.ask("WRITE item-" + value + " " + value)
	w.mu.Lock()
	switch {
	case err == nil && strings.HasPrefix(end, "DONE"):
		w.acked = append(w.acked, id)
		w.longestGap = max(w.longestGap, time.Since(w.lastAck))
		w.lastAck = time.Now()
	case err == nil && !strings.Contains(end, "INDOUBT") && !strings.Contains(end, "TIMEOUT"):
		w.rejected = append(w.rejected, id)
	default:
		w.unknown = append(w.unknown, id)
	}
	w.mu.Unlock()
	if err != nil || !strings.HasPrefix(end, "DONE") {
		return err
	}
	_, rows, end, err := c.ask("READ item-" + value)
	if err == nil && strings.HasPrefix(end, "DONE") && (len(rows) != 1 || rows[0] != value) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.stale = append(w.stale, fmt.Sprintf("session wrote %s and read %v", value, rows))
	}
	return err
}

// finish stops the workload and checks that each acknowledged write was applied once, each rejected one not at all and each one with an
// unknown outcome at most once, and that sessions read what they wrote.
func (w *workload) finish(t *testing.T, s *site) {
	t.Helper()
	close(w.stop)
	w.done.Wait()
	for _, id := range w.acked {
		require.Equal(t, 1, s.cluster.CommitCount(model.RequestID(id)), "acknowledged write %s", id)
	}
	for _, id := range w.rejected {
		require.Zero(t, s.cluster.CommitCount(model.RequestID(id)), "rejected write %s", id)
	}
	for _, id := range w.unknown {
		require.LessOrEqual(t, s.cluster.CommitCount(model.RequestID(id)), 1, "write %s with an unknown outcome", id)
	}
	t.Logf("%d acknowledged, %d rejected, %d unknown, longest gap %s",
		len(w.acked), len(w.rejected), len(w.unknown), w.longestGap.Round(time.Millisecond))
	require.NotEmpty(t, w.acked)
	require.Empty(t, w.stale)
}
