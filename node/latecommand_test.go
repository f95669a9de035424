package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

// command sends a command to an instance that no present run sends, as one of an earlier run that comes late.
func (s *site) command(t *testing.T, name model.InstanceName, run func(conn model.InstanceConn, deadline time.Time) (model.InstanceState, error)) {
	t.Helper()
	deadline := time.Now().Add(time.Second)
	conn, err := s.cluster.Dial(deadline, s.cluster.Instance(name), model.ProxyTeam)
	require.NoError(t, err)
	defer conn.Close()
	_, err = run(conn, deadline)
	require.NoError(t, err)
}

// TestGroupRecoversFromALateDemotion guards against a group that stays without a primary: a replacement was withdrawn, since the old primary answered
// again, and the DEMOTE of that replacement came afterwards. The primary answered, and its answers were taken for those of a primary.
func TestGroupRecoversFromALateDemotion(t *testing.T) {
	s := newSite(t, 3)
	s.commit(t, 10)
	s.command(t, "i-1", func(conn model.InstanceConn, deadline time.Time) (model.InstanceState, error) {
		return conn.Demote(deadline, 2)
	})
	require.False(t, s.serves(0))
	require.Eventually(t, func() bool { return s.serves(0) && s.serves(1) && s.serves(2) }, 8*time.Second, 20*time.Millisecond)
	require.Empty(t, s.cluster.LostCommits())
}

// TestGroupRecoversFromLatePauses is the same for replicas that a late PAUSE of a replacement reached that was withdrawn.
func TestGroupRecoversFromLatePauses(t *testing.T) {
	s := newSite(t, 3)
	s.commit(t, 10)
	for _, name := range []model.InstanceName{"i-2", "i-3"} {
		s.command(t, name, func(conn model.InstanceConn, deadline time.Time) (model.InstanceState, error) {
			return conn.Pause(deadline, 2)
		})
	}
	require.False(t, s.serves(0))
	require.Eventually(t, func() bool { return s.serves(0) && s.serves(1) && s.serves(2) }, 12*time.Second, 20*time.Millisecond)
	require.Empty(t, s.cluster.LostCommits())
}

// TestReplicaRecoversFromALatePause guards against a replica that receives nothing any more: the PAUSE of a replacement that was withdrawn reached it
// afterwards. Nothing looks for a replica that is paused while no replacement is announced.
func TestReplicaRecoversFromALatePause(t *testing.T) {
	s := newSite(t, 3)
	s.commit(t, 10)
	s.command(t, "i-2", func(conn model.InstanceConn, deadline time.Time) (model.InstanceState, error) {
		return conn.Pause(deadline, 2)
	})
	s.commit(t, 10)
	received := func() bool {
		deadline := time.Now().Add(time.Second)
		conn, err := s.cluster.Dial(deadline, s.cluster.Instance("i-2"), model.ProxyTeam)
		require.NoError(t, err)
		defer conn.Close()
		state, err := conn.Status(deadline)
		require.NoError(t, err)
		return state.Received.Position >= 20
	}
	require.Eventually(t, received, 8*time.Second, 20*time.Millisecond)
}
