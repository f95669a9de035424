package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockedWriter blocks writes until open is closed.
type blockedWriter struct {
	mu   sync.Mutex
	open chan struct{}
	text bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// closeAndWait closes a ring and waits until all lines are written, also on a busy machine.
func closeAndWait(ring *Ring) {
	ring.Close()
	<-ring.done
}

func TestLoggingNeverBlocksAndCountsWhatItDrops(t *testing.T) {
	const size = 10
	out := &blockedWriter{open: make(chan struct{})}
	ring := NewRing(out, size)
	start := time.Now()
	for range 1000 {
		_, err := ring.Write([]byte("level=info msg=line\n"))
		require.NoError(t, err)
	}
	require.Less(t, time.Since(start), time.Second, "nobody reads the output")
	close(out.open)
	// The count is written with the next lines.
	require.Eventually(t, func() bool { return ring.pending.Load() == 0 }, time.Second, time.Millisecond)
	_, err := ring.Write([]byte("level=info msg=last\n"))
	require.NoError(t, err)
	closeAndWait(ring)
	require.Contains(t, out.text.String(), "log lines dropped")
	require.LessOrEqual(t, strings.Count(out.text.String(), "msg=line"), size)
	require.Contains(t, out.text.String(), "msg=last")
}

func TestLinesOfAWriteInProgressCountTowardsTheBound(t *testing.T) {
	const size = 10
	out := &blockedWriter{open: make(chan struct{})}
	ring := NewRing(out, size)
	_, err := ring.Write([]byte("msg=line\n"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(ring.lines) == 0 }, time.Second, time.Millisecond, "the writer has taken the first line")
	for range 2 * size {
		_, err = ring.Write([]byte("msg=line\n"))
		require.NoError(t, err)
	}
	close(out.open)
	closeAndWait(ring)
	require.Equal(t, size, strings.Count(out.text.String(), "msg=line"))
}

func TestNewWritesKeyValueLines(t *testing.T) {
	var out bytes.Buffer
	logger, ring, err := New(&out, "info")
	require.NoError(t, err)
	logger.Debug("hidden")
	logger.Info("statement", "id", "q1", "outcome", "Done")
	closeAndWait(ring)
	require.Contains(t, out.String(), "level=info msg=statement id=q1 outcome=Done")
	require.NotContains(t, out.String(), "hidden")
	_, _, err = New(&out, "loud")
	require.Error(t, err)
}

func TestWriteAfterCloseIsDropped(t *testing.T) {
	var out bytes.Buffer
	ring := NewRing(&out, 10)
	_, err := ring.Write([]byte("msg=last\n"))
	require.NoError(t, err)
	closeAndWait(ring)
	for range 20 {
		_, err = ring.Write([]byte("msg=late\n"))
		require.NoError(t, err)
	}
	require.Equal(t, "msg=last\n", out.String())
}

// TestCloseDoesNotWaitForABlockedOutput guards against a process that does not end because nobody reads its log.
func TestCloseDoesNotWaitForABlockedOutput(t *testing.T) {
	out := &blockedWriter{open: make(chan struct{})}
	ring := NewRing(out, 10)
	_, err := ring.Write([]byte("msg=line\n"))
	require.NoError(t, err)
	closed := make(chan struct{})
	go func() {
		ring.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(closeTimeout + time.Second):
		t.Error("Close waits")
	}
	close(out.open)
}
