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

// fewConnections is less than two for each of six nodes beside the spare ones, so that nodes use those of homes.
const fewConnections = 16

func TestFewConnectionsAreSharedAmongNodes(t *testing.T) {
	s := openSite(t, 6, fewConnections, 0)
	w := s.work()
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
	require.LessOrEqual(t, s.cluster.MostConnections("i-1"), fewConnections)
}

func TestPrimaryFailsWhileHomesHoldItsConnections(t *testing.T) {
	for name, fault := range map[string]stand.DatabaseFaults{"crash": {Down: true}, "dark": {Dark: true}} {
		t.Run(name, func(t *testing.T) {
			s := openSite(t, 6, fewConnections, 0)
			w := s.work()
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

func TestPrimaryLeavesWhileHomesHoldItsConnections(t *testing.T) {
	s := openSite(t, 6, fewConnections, 0)
	w := s.work()
	time.Sleep(300 * time.Millisecond)
	leaving := s.nodes[0].world.Snapshot().Instances["i-1"]
	s.announce(leaving, "draining")
	require.Eventually(t, func() bool { p, _ := s.cluster.Primary(); return p != "" && p != "i-1" }, 4*time.Second, 10*time.Millisecond)
	for node := range s.nodes {
		require.Eventually(t, func() bool { return s.serves(node) }, 3*time.Second, 20*time.Millisecond, "node %d", node)
	}
	w.finish(t, s)
	require.Empty(t, w.doubts, "a planned replacement waits for the answers under way, which tell their outcome")
}

// TestHomeEndsAtOnce ends the node that holds the connections which another one uses.
func TestHomeEndsAtOnce(t *testing.T) {
	s := openSite(t, 6, fewConnections, 0)
	w := s.work()
	time.Sleep(300 * time.Millisecond)
	home := s.nodes[0].connectionOwners(clock.Now(), "i-1")[0].Name
	for i, n := range s.nodes {
		if n.config.Settings.VM == home {
			s.cancels[i]()
		}
	}
	for i, n := range s.nodes {
		if n.config.Settings.VM != home {
			require.Eventually(t, func() bool { return s.serves(i) }, 4*time.Second, 20*time.Millisecond, "node %s", n.config.Settings.VM)
		}
	}
	w.finish(t, s)
}

// TestBurstAtSharedConnectionsIsAnsweredInTime replays a burst of readers at few connections: a VM with connections turns away what
// it can't take in time, and that is told with when to come back.
func TestBurstAtSharedConnectionsIsAnsweredInTime(t *testing.T) {
	s := openSite(t, 6, fewConnections, 10*time.Millisecond)
	served, refused := 0, 0
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
			refused++
		default:
			t.Errorf("answer %q", end)
		}
	}
	t.Logf("served %d, refused %d in %s", served, refused, time.Since(start).Round(time.Millisecond))
	require.Greater(t, served, refused)
}
