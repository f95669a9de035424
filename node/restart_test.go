package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/platform"
	"github.com/crocusshore/crocusshore/stand"
)

// restartAll replaces the process of every VM by a new one, as after a kill of all processes: nothing that was in memory is left.
func (s *site) restartAll() {
	vms := len(s.nodes)
	for _, cancel := range s.cancels {
		cancel()
	}
	s.nodes, s.cancels = nil, nil
	for i := range vms {
		s.start(i)
	}
}

// commit writes through the first node until n writes are acknowledged.
func (s *site) commit(t *testing.T, n int) {
	t.Helper()
	c, err := s.dial(0, "revise", "key-1")
	require.NoError(t, err)
	defer func() { _ = c.conn.Close() }()
	for i := range n {
		c.must(t, fmt.Sprintf("WRITE item-%d x", i))
	}
}

// lapse removes the registration of an instance, which goes on running.
func (s *site) lapse(name model.InstanceName) { s.rows.Delete(platform.TableInstances, string(name)) }

// TestStartAroundAnOutageOfTheStoreKeepsTheHealthyPrimary guards against lost commits after an outage in which registrations expired:
// processes that started meanwhile took the instances that had not registered again yet for gone, and promoted the one replica that was
// registered, which lacked commits.
func TestStartAroundAnOutageOfTheStoreKeepsTheHealthyPrimary(t *testing.T) {
	const renewedAfter, watched = 1200 * time.Millisecond, 5 * time.Second
	s := newSite(t, 3)
	s.cluster.SetFaults("i-3", stand.DatabaseFaults{NoReplication: true})
	s.commit(t, 20)
	s.rows.SetFaults(stand.RowsFaults{Unavailable: true})
	s.restartAll()
	s.lapse("i-1")
	s.lapse("i-2")
	time.Sleep(300 * time.Millisecond)
	s.rows.SetFaults(stand.RowsFaults{})
	time.AfterFunc(renewedAfter, func() {
		s.announce(s.cluster.Instance("i-1"), "ready")
		s.announce(s.cluster.Instance("i-2"), "ready")
	})
	time.Sleep(watched)
	primary, _ := s.cluster.Primary()
	require.Equal(t, model.InstanceName("i-1"), primary)
	require.Empty(t, s.cluster.LostCommits())
	require.True(t, s.serves(0))
}
