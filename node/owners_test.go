package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/stand"
)

// fewConnections leaves fewer than two connections for each of six nodes besides the reserved ones, so that nodes use connections of other
// nodes.
const fewConnections = 16

func TestConnectionsAreSharedAmongNodes(t *testing.T) {
	s := openSite(t, 6, fewConnections, 0)
	w := s.startWorkload()
	time.Sleep(time.Second)
	w.finish(t, s)
	for node := range s.nodes {
		c, err := s.dial(node, "revise", "key-1")
		require.NoError(t, err)
		value := fmt.Sprint("inside-", node)
		c.must(t, "SET zone "+value)
		c.must(t, "PREPARE p WRITE shape")
		c.must(t, "BEGIN")
		c.must(t, "EXEC p item-"+value+" "+value)
		c.must(t, "COMMIT")
		c.must(t, "BEGIN")
		c.must(t, "WRITE item-"+value+" other")
		c.must(t, "ROLLBACK")
		require.Equal(t, []string{value}, c.must(t, "READ item-"+value))
		_ = c.conn.Close()
	}
	require.LessOrEqual(t, s.cluster.PeakConnections("i-1"), fewConnections)
}

func TestWritesRecoverAfterThePrimaryWithSharedConnectionsFails(t *testing.T) {
	for name, fault := range map[string]stand.DatabaseFaults{"crash": {Down: true}, "unreachable": {Unresponsive: true}} {
		t.Run(name, func(t *testing.T) {
			s := openSite(t, 6, fewConnections, 0)
			w := s.startWorkload()
			time.Sleep(300 * time.Millisecond)
			s.cluster.SetFaults("i-1", fault)
			require.Eventually(t, func() bool { p, term := s.cluster.Primary(); return p != "i-1" && term == 2 }, 8*time.Second, 10*time.Millisecond)
			for node := range s.nodes {
				require.Eventually(t, func() bool { return s.serves(node) }, 4*time.Second, 20*time.Millisecond, "node %d", node)
			}
			s.cluster.SetFaults("i-1", stand.DatabaseFaults{})
			time.Sleep(200 * time.Millisecond)
			w.finish(t, s)
		})
	}
}

func TestPlannedReplacementWithSharedConnectionsLeavesNoOutcomeUnknown(t *testing.T) {
	s := openSite(t, 6, fewConnections, 0)
	w := s.startWorkload()
	time.Sleep(300 * time.Millisecond)
	leaving := s.nodes[0].cache.Snapshot().Instances["i-1"]
	s.announce(leaving, "draining")
	require.Eventually(t, func() bool { p, _ := s.cluster.Primary(); return p != "" && p != "i-1" }, 4*time.Second, 10*time.Millisecond)
	for node := range s.nodes {
		require.Eventually(t, func() bool { return s.serves(node) }, 3*time.Second, 20*time.Millisecond, "node %d", node)
	}
	w.finish(t, s)
	require.Empty(t, w.unknown, "a planned replacement waits for answers in flight, so that every outcome is known")
}

// TestWritesRecoverAfterAConnectionOwnerEnds stops the node that holds the connections which another node uses, without a shutdown.
func TestWritesRecoverAfterAConnectionOwnerEnds(t *testing.T) {
	s := openSite(t, 6, fewConnections, 0)
	w := s.startWorkload()
	time.Sleep(300 * time.Millisecond)
	owner := s.nodes[0].connectionOwners(clock.Now(), "i-1")[0].Name
	for i, n := range s.nodes {
		if n.config.Settings.VM == owner {
			s.cancels[i]()
		}
	}
	for i, n := range s.nodes {
		if n.config.Settings.VM != owner {
			require.Eventually(t, func() bool { return s.serves(i) }, 4*time.Second, 20*time.Millisecond, "node %s", n.config.Settings.VM)
		}
	}
	w.finish(t, s)
}

// TestBurstAtSharedConnectionsIsAnsweredInTime guards against rejections without a time to retry: during a burst of reads at few
// connections, a VM with connections rejects what it cannot serve in time, and the rejection must say when to retry.
func TestBurstAtSharedConnectionsIsAnsweredInTime(t *testing.T) {
	s := openSite(t, 6, fewConnections, 10*time.Millisecond)
	served, rejected := 0, 0
	start := time.Now()
	answers := make(chan string, 600)
	for node := range 30 {
		go func() {
			c, err := s.dial(node%6, "browse", "key-1")
			for range 20 {
				end := fmt.Sprint(err)
				if err == nil {
					_, _, end, _ = c.ask("READ item")
				}
				answers <- end
			}
		}()
	}
	for range cap(answers) {
		switch end := <-answers; {
		case strings.HasPrefix(end, "DONE"):
			served++
		case strings.HasPrefix(end, "ERR BUSY") && strings.Contains(end, "retry-after-ms="):
			rejected++
		default:
			t.Errorf("answer %q", end)
		}
	}
	t.Logf("served %d, rejected %d in %s", served, rejected, time.Since(start).Round(time.Millisecond))
	require.Greater(t, served, rejected)
}
