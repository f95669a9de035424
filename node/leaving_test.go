package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
)

// TestFormerPrimaryThatLeavesIsRemembered guards against lost commits after a planned replacement: the former primary was a replica that commits of
// the new one rested on, it left before the record named it, and processes that started after that did not know it.
func TestFormerPrimaryThatLeavesIsRemembered(t *testing.T) {
	const watched = 5 * time.Second
	s := newSite(t, 3)
	s.commit(t, 5)
	s.cluster.OnChange(func(i model.Instance) {
		if i.Name != "i-1" { // Its report comes too late.
			s.announce(i, "ready")
		}
	})
	s.announce(s.cluster.Instance("i-1"), "draining")
	require.Eventually(t, func() bool { p, _ := s.cluster.Primary(); return p != "" && p != "i-1" }, 4*time.Second, time.Millisecond)
	primary, _ := s.cluster.Primary()
	deaf := model.InstanceName("i-2")
	if primary == deaf {
		deaf = "i-3"
	}
	s.cluster.SetFaults(deaf, stand.DatabaseFaults{NoReplication: true})
	require.Eventually(t, func() bool { return s.serves(0) }, 3*time.Second, time.Millisecond)
	s.commit(t, 20)
	s.crash("i-1", primary)
	s.restartAll()
	time.Sleep(watched)
	s.requireKept(t, primary)
}
