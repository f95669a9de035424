package elect

import (
	"math"
	"slices"

	"github.com/crocusshore/crocusshore/model"
)

type (
	// Replica is a replica of a group as observed by the VM that holds the coordinator lease.
	Replica struct {
		Instance model.Instance
		// Paused reports that the replica receives nothing of the old term any more. Where replicas are compared
		// with a primary that still answers, it only reports that the replica answered.
		Paused bool
		// PausedTerm is the term for which the replica was paused, according to its own answer.
		PausedTerm model.Term
		// Leads is the term that the instance leads, or 0 if it is a replica.
		Leads    model.Term
		Received model.Mark
		// Evacuated reports that the failure domain of the replica is evacuated.
		Evacuated bool
	}

	// Release is the confirmation of a VM that it stopped using the old primary.
	Release struct {
		VM model.VMID
		// Known is the highest log position that the VM observed to be acknowledged, or zero if it observed none.
		Known model.Mark
		// Complete reports whether Known covers every commit that an instance may have acknowledged to the VM, also to its earlier processes. It does
		// not while a statement that may commit is unanswered, since its acknowledgement may be on the way or lost.
		Complete bool
	}

	// Evidence is what the choice of the next primary is based on.
	Evidence struct {
		Replicas []Replica
		Releases []Release
		// AllReleased reports whether every registered VM confirmed.
		AllReleased bool
		// Recorded are the recorded replicas, any of which may be the only one that had received an acknowledged commit; nil if unknown.
		Recorded []model.Incarnation
		// StartsSettled reports that every replica was registered with its present start when it was paused. Otherwise it may have started again,
		// with an empty log, while the store still has the registration of its former start.
		StartsSettled bool
		// Final is the end of the old primary's log after it was demoted, or zero if that is not known. What it acknowledged is in its log.
		Final model.Mark
	}
)

// Choose returns the replica that takes over, or false if an acknowledged commit could be lost.
//
// A commit is acknowledged once one replica received it. So if all replicas were paused before they were compared, and all recorded ones are
// among them, the one with the furthest log has every acknowledged commit. That they are the recorded ones has to be settled if one holds nothing,
// since it may just have started again, and also if the leases of VMs had to run out, since that takes no less time. Otherwise every VM must
// have confirmed and know what was acknowledged to it, with no statement unanswered, at least one must have observed an acknowledged position, and
// the furthest log must reach the highest such position.
//
// If the old primary was demoted, its log has every acknowledged commit, so one that ends where it ends has them, too. A log that goes further, or a commit
// observed beyond it, shows that the old primary has started again or led again since.
func Choose(e Evidence) (Replica, bool) {
	best, found := furthest(e.Replicas)
	if !found {
		return Replica{}, false
	}
	acked, complete := highestAcked(e.Releases)
	if e.Final != (model.Mark{}) && best.Received == e.Final && !e.Final.Before(acked) {
		return best, true
	}
	startsKnown := e.StartsSettled || (e.AllReleased && !anyEmpty(e.Replicas))
	if startsKnown && AllPaused(e.Replicas) && CompareReplicas(e.Recorded, instances(e.Replicas)).Complete() {
		return best, true
	}
	if !e.AllReleased || !complete || acked == (model.Mark{}) || best.Received.Before(acked) {
		return Replica{}, false
	}
	return best, true
}

func instances(replicas []Replica) []model.Instance {
	all := make([]model.Instance, 0, len(replicas))
	for _, r := range replicas {
		all = append(all, r.Instance)
	}
	return all
}

// drawback ranks a replica among others that could take over as well; 0 is the best.
func (r Replica) drawback() int {
	switch {
	case r.Evacuated && r.Instance.Leaving:
		return 3
	case r.Evacuated:
		return 2
	case r.Instance.Leaving:
		return 1
	default:
		return 0
	}
}

// furthest returns the paused replica with the furthest log; of equal ones, it prefers one that is neither evacuated nor leaving.
func furthest(replicas []Replica) (Replica, bool) {
	var best Replica
	found := false
	for _, r := range replicas {
		if !r.Paused {
			continue
		}
		if !found || best.Received.Before(r.Received) || (best.Received == r.Received && r.drawback() < best.drawback()) {
			best, found = r, true
		}
	}
	return best, found
}

// AllPaused reports whether every replica is paused; it returns true if there is none.
func AllPaused(replicas []Replica) bool {
	for _, r := range replicas {
		if !r.Paused {
			return false
		}
	}
	return true
}

// anyEmpty reports whether a replica holds nothing, as one does that has just started again.
func anyEmpty(replicas []Replica) bool {
	return slices.ContainsFunc(replicas, func(r Replica) bool { return r.Paused && r.Received.Position == 0 })
}

// highestAcked returns the highest position that a VM observed to be acknowledged, and whether all of them know what was acknowledged there.
func highestAcked(releases []Release) (acked model.Mark, complete bool) {
	complete = true
	for _, r := range releases {
		complete = complete && r.Complete
		if acked.Before(r.Known) {
			acked = r.Known
		}
	}
	return acked, complete
}

// FindEqual returns the paused replica of a name if it holds as much as the chosen one.
func FindEqual(replicas []Replica, chosen, name model.InstanceName) (model.Instance, bool) {
	var received model.Mark
	for _, r := range replicas {
		if r.Instance.Name == chosen {
			received = r.Received
		}
	}
	for _, r := range replicas {
		if r.Instance.Name == name && r.Paused && !r.Received.Before(received) {
			return r.Instance, true
		}
	}
	return model.Instance{}, false
}

// FindPromoted returns the instance that leads a term, or the latest later one.
func FindPromoted(replicas []Replica, term model.Term) (Replica, bool) {
	var promoted Replica
	for _, r := range replicas {
		if r.Leads >= term && r.Leads > promoted.Leads {
			promoted = r
		}
	}
	return promoted, promoted.Leads > 0
}

// AnyPaused reports whether at least one replica is paused.
func AnyPaused(replicas []Replica) bool {
	_, found := furthest(replicas)
	return found
}

// FindCaughtUp returns a replica that has the log of an old primary up to final, which is its full log if the
// primary accepts no more writes. It returns a leaving replica only if all paused replicas are leaving or evacuated, and an evacuated one only if
// all are evacuated.
func FindCaughtUp(replicas []Replica, final model.Mark) (model.Instance, bool) {
	least := math.MaxInt
	for _, r := range replicas {
		if r.Paused {
			least = min(least, r.drawback())
		}
	}
	for _, r := range replicas {
		if r.Paused && r.drawback() == least && !r.Received.Before(final) {
			return r.Instance, true
		}
	}
	return model.Instance{}, false
}

// Unevacuated returns the replicas whose failure domains are not evacuated.
func Unevacuated(replicas []Replica) []Replica {
	return slices.DeleteFunc(slices.Clone(replicas), func(r Replica) bool { return r.Evacuated })
}

// RecheckPaused returns a copy of the replicas. In the copy, Paused is false for a replica that is no longer paused for the term because
// it restarted.
func RecheckPaused(replicas []Replica, term model.Term) []Replica {
	rechecked := make([]Replica, len(replicas))
	for i, r := range replicas {
		r.Paused = r.Paused && r.PausedTerm >= term
		rechecked[i] = r
	}
	return rechecked
}
