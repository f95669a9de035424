package load

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/crocusshore/crocusshore/model"
)

const (
	maxLatencyMicros  = int64(time.Minute / time.Microsecond)
	significantDigits = 3
)

// Tally counts the requests of a run by their outcomes. Its methods are safe for concurrent use.
type Tally struct {
	mu sync.Mutex
	// Reads and Writes count requests that were done.
	Reads  int
	Writes int
	// WritesSent counts all writes, done or not.
	WritesSent int
	// ReplicaReads counts the reads that replicas served.
	ReplicaReads int
	Done         int
	// Refused counts the other requests by "OUTCOME REASON".
	Refused map[string]int
	ByTeam  map[model.TeamName]TeamTally
	// ServedBy counts the done requests by the instance that served them.
	ServedBy map[string]int
	// Latencies holds the latencies, in microseconds, of the done requests under "read" and "write".
	Latencies map[string]*hdrhistogram.Histogram
}

// TeamTally counts the requests of one team.
type TeamTally struct {
	// Requests counts all requests, done or not.
	Requests int
	Done     int
	// OverRate counts the requests in Refused with the reason ReasonOverRate.
	OverRate int
	// Refused counts the requests that were not done or whose outcome is unknown.
	Refused int
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{
		Refused:   map[string]int{},
		ByTeam:    map[model.TeamName]TeamTally{},
		ServedBy:  map[string]int{},
		Latencies: map[string]*hdrhistogram.Histogram{},
	}
}

// Add counts a request by its answer.
func (t *Tally) Add(team model.TeamName, write bool, answer Answer, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if write {
		t.WritesSent++
	}
	counts := t.ByTeam[team]
	counts.Requests++
	if answer.Refusal != nil {
		t.Refused[string(answer.Refusal.Outcome)+" "+string(answer.Refusal.Reason)]++
		counts.Refused++
		if answer.Refusal.Reason == model.ReasonOverRate {
			counts.OverRate++
		}
		t.ByTeam[team] = counts
		return
	}
	counts.Done++
	t.ByTeam[team] = counts
	t.Done++
	t.ServedBy[answer.ServedBy]++
	t.countDone(write, answer, latency)
}

func (t *Tally) countDone(write bool, answer Answer, latency time.Duration) {
	kind := "read"
	if write {
		t.Writes++
		kind = "write"
	} else {
		t.Reads++
		if answer.Replica {
			t.ReplicaReads++
		}
	}
	h := t.Latencies[kind]
	if h == nil {
		h = hdrhistogram.New(1, maxLatencyMicros, significantDigits)
		t.Latencies[kind] = h
	}
	_ = h.RecordValue(latency.Microseconds())
}

// ReplicaShare returns the share of the done reads that replicas served.
func (t *Tally) ReplicaShare() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return share(t.ReplicaReads, t.Reads)
}

// Quantile returns a quantile, from 0 to 100, of the latencies of a kind, "read" or "write"; 0 if there are none.
func (t *Tally) Quantile(kind string, quantile float64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.Latencies[kind]
	if h == nil {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(quantile)) * time.Microsecond
}

// Progress returns the counts so far on one line.
func (t *Tally) Progress(elapsed time.Duration) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	refused := 0
	for _, n := range t.Refused {
		refused += n
	}
	return fmt.Sprintf("%5.1fs  done %d (%.0f/s)  reads %d, by replicas %.1f%%  writes %d  refused %d",
		elapsed.Seconds(), t.Done, float64(t.Done)/elapsed.Seconds(), t.Reads, 100*share(t.ReplicaReads, t.Reads), t.Writes, refused)
}

// Summary returns the counts and latencies of the run as text of several lines.
func (t *Tally) Summary() string {
	var text strings.Builder
	fmt.Fprintf(&text, "reads %d, served by replicas %.1f%%\n", t.Reads, 100*t.ReplicaShare())
	fmt.Fprintf(&text, "writes %d\n", t.Writes)
	for _, kind := range []string{"read", "write"} {
		fmt.Fprintf(&text, "%-5s latency p50 %v  p90 %v  p99 %v  max %v\n", kind,
			t.Quantile(kind, 50), t.Quantile(kind, 90), t.Quantile(kind, 99), t.Quantile(kind, 100))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	writeCounts(&text, "served by instance", t.ServedBy)
	writeCounts(&text, "refused", t.Refused)
	return text.String()
}

func writeCounts(text *strings.Builder, title string, counts map[string]int) {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(text, "%s %s: %d\n", title, name, counts[name])
	}
}

func share(part, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(part) / float64(total)
}

// DoneShare returns the share of the requests that were done.
func (t *Tally) DoneShare() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	requests := t.Done
	for _, n := range t.Refused {
		requests += n
	}
	return share(t.Done, requests)
}

// DoneWriteShare returns the share of the writes that were done.
func (t *Tally) DoneWriteShare() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return share(t.Writes, t.WritesSent)
}
