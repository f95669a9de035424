package elect

import "github.com/crocusshore/crocusshore/model"

type (
	// Replica is a replica of a group as the holder of the duty sees it.
	Replica struct {
		Instance model.Instance
		// Paused tells that the replica receives nothing of the old term any more.
		Paused bool
		// PausedTerm is the term for which the replica was stopped, as it answered.
		PausedTerm model.Term
		Received   model.Mark
	}

	// Release is the confirmation of a VM that it stopped using the old primary.
	Release struct {
		VM model.VMID
		// Known is the highest position that the VM saw acknowledged; it is the zero mark where the VM saw none.
		Known model.Mark
	}

	// Evidence is what the choice of the next primary rests on.
	Evidence struct {
		Replicas []Replica
		Releases []Release
		// AllReleased tells that every registered VM confirmed.
		AllReleased bool
		// ReplicaRemoved tells that a replica left lately; a commit may have been acknowledged because of it alone.
		ReplicaRemoved bool
	}
)

// Choose returns the replica that takes over; false means that an acknowledged commit could be lost.
//
// A commit is acknowledged once one replica received it. So the furthest of all replicas has every one, if all were stopped
// before they were compared and none took its log away. Otherwise the furthest must have everything that any VM knows to be acknowledged.
func Choose(e Evidence) (Replica, bool) {
	best, found := furthest(e.Replicas)
	if !found {
		return Replica{}, false
	}
	if AllPaused(e.Replicas) && !e.ReplicaRemoved {
		return best, true
	}
	known := highest(e.Releases)
	if !e.AllReleased || known == (model.Mark{}) || best.Received.Before(known) {
		return Replica{}, false
	}
	return best, true
}

// furthest returns the stopped replica with the longest log, one that stays before one that leaves.
func furthest(replicas []Replica) (Replica, bool) {
	var best Replica
	found := false
	for _, r := range replicas {
		if !r.Paused {
			continue
		}
		if !found || best.Received.Before(r.Received) || (best.Received == r.Received && best.Instance.Leaving && !r.Instance.Leaving) {
			best, found = r, true
		}
	}
	return best, found
}

// AllPaused tells whether every replica is stopped.
func AllPaused(replicas []Replica) bool {
	for _, r := range replicas {
		if !r.Paused {
			return false
		}
	}
	return true
}

func highest(releases []Release) model.Mark {
	var known model.Mark
	for _, r := range releases {
		if known.Before(r.Known) {
			known = r.Known
		}
	}
	return known
}

// AnyPaused tells whether at least one replica is stopped.
func AnyPaused(replicas []Replica) bool {
	_, found := furthest(replicas)
	return found
}

// CaughtUp returns a replica that has the whole log of an old primary that writes no more; one that leaves only where no other stays.
func CaughtUp(replicas []Replica, final model.Mark) (model.Instance, bool) {
	staying := false
	for _, r := range replicas {
		staying = staying || (r.Paused && !r.Instance.Leaving)
	}
	for _, r := range replicas {
		if r.Paused && (!staying || !r.Instance.Leaving) && !r.Received.Before(final) {
			return r.Instance, true
		}
	}
	return model.Instance{}, false
}

// RecheckPaused returns the replicas of which those that are not held for a term any more, since they restarted, count as not stopped.
func RecheckPaused(replicas []Replica, term model.Term) []Replica {
	kept := make([]Replica, len(replicas))
	for i, r := range replicas {
		r.Paused = r.Paused && r.PausedTerm >= term
		kept[i] = r
	}
	return kept
}
