package elect

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

type (
	// group is a primary with two replicas of which some receive late or cannot be asked.
	group struct {
		random   *rand.Rand
		position int
		acked    int
		replicas []follower
		// known is what each VM saw acknowledged, and silent which VMs do not confirm.
		known  []int
		silent []bool
	}

	follower struct {
		received int
		deaf     bool
		away     bool
	}
)

func newGroup(seed uint64) *group {
	g := &group{random: rand.New(rand.NewPCG(seed, 7)), replicas: make([]follower, 2), known: make([]int, 3), silent: make([]bool, 3)}
	for range 40 {
		g.step()
	}
	return g
}

// step commits, or changes who receives, answers or confirms.
func (g *group) step() {
	replica := &g.replicas[g.random.IntN(len(g.replicas))]
	switch g.random.IntN(8) {
	case 0:
		replica.deaf = !replica.deaf
	case 1:
		replica.away = !replica.away
	case 2:
		g.silent[g.random.IntN(len(g.silent))] = g.random.IntN(3) == 0
	default:
		g.commit()
	}
}

// commit is acknowledged through a VM once a replica received it.
func (g *group) commit() {
	g.position++
	received := false
	for i := range g.replicas {
		if !g.replicas[i].deaf {
			g.replicas[i].received = g.position
			received = true
		}
	}
	if received {
		g.acked = g.position
		g.known[g.random.IntN(len(g.known))] = g.position
	}
}

// evidence is what the holder of the duty finds after the primary was lost and all leases are over.
func (g *group) evidence() Evidence {
	e := Evidence{AllReleased: true}
	for i, f := range g.replicas {
		e.Replicas = append(e.Replicas, replica(fmt.Sprint(i), !f.away, f.received))
	}
	for vm, position := range g.known {
		if g.silent[vm] {
			e.AllReleased = false
			continue
		}
		r := Release{VM: model.VMID(fmt.Sprint(vm))}
		if position > 0 {
			r.Known = mark(1, position)
		}
		e.Releases = append(e.Releases, r)
	}
	return e
}

// naive promotes the furthest of the replicas that answer.
func naive(e Evidence) (Replica, bool) { return furthest(e.Replicas) }

// TestChoiceAgainstANaiveOne loses a primary after random histories and lets both choose: the naive choice loses acknowledged commits,
// ours none, and ours waits only where a commit could be missing as far as can be known.
func TestChoiceAgainstANaiveOne(t *testing.T) {
	const runs = 20_000
	lost, waited, needless := 0, 0, 0
	for seed := range uint64(runs) {
		g := newGroup(seed)
		e := g.evidence()
		theirs, found := naive(e)
		if found && theirs.Received.Before(mark(1, g.acked)) {
			lost++
		}
		ours, ok := Choose(e)
		if ok {
			require.False(t, ours.Received.Before(mark(1, g.acked)), "seed %d: %+v", seed, e)
			continue
		}
		waited++
		if found && e.AllReleased && !theirs.Received.Before(mark(1, g.acked)) && highest(e.Releases) != (model.Mark{}) {
			needless++
		}
	}
	t.Logf("the naive choice lost commits in %d of %d runs; ours lost none and waited in %d", lost, runs, waited)
	require.Positive(t, lost)
	require.Zero(t, needless, "all VMs confirmed and a replica that answers has what they know")
}
