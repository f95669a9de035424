package elect

import (
	"slices"

	"github.com/crocusshore/crocusshore/model"
)

type (
	// RecordedPrimary is the primary of a group as a record names it; zero if there is no record.
	RecordedPrimary struct {
		Instance model.InstanceName
		Term     model.Term
	}

	// ConfirmedPrimary is the primary to record. Replace reports that it answers and does not lead, so that it must be replaced before it is used.
	ConfirmedPrimary struct {
		RecordedPrimary
		Replace bool
	}

	// Standing is what a registered instance of a group answers about itself.
	Standing struct {
		Instance model.InstanceName
		Answered bool
		State    model.InstanceState
	}

	// RestoredGroup is what is known of the primary of a group after the store came back from an older copy.
	RestoredGroup struct {
		// Known is the primary that this VM knew before, and Stored the one that the store has now. Either may be out of date.
		Known, Stored RecordedPrimary
		Standings     []Standing
		// Absent is the number of recorded instances that are not registered and may come back.
		Absent int
		// Registered reports that the instances had the time to register again.
		Registered bool
		// OrdersEnded reports that no order of before can be under way any more.
		OrdersEnded bool
	}
)

// ConfirmPrimary returns the primary to record, or false if that is not known yet.
//
// An instance that leads a term no lower than those of the records is the primary, since only a recorded order promotes one. While an order may be under
// way, it is confirmed only if all other instances answer and none is paused for a later term: the target of an order was paused for it, unless the
// primary had been demoted. If none leads once no order can be under way, the later record stands, so that its primary can be replaced. It does not if an
// instance knows a later term, because the records are too old then.
//
// Whatever has been acknowledged in a later term is on two instances that know it. So none was if all but one instance answer and know none.
func ConfirmPrimary(g RestoredGroup) (ConfirmedPrimary, bool) {
	if !g.Registered {
		return ConfirmedPrimary{}, false
	}
	recorded := g.Stored
	if g.Known.Term > recorded.Term {
		recorded = g.Known
	}
	leader, newest, silent := RecordedPrimary{}, model.Term(0), g.Absent
	for _, s := range g.Standings {
		if !s.Answered {
			silent++
			continue
		}
		newest = max(newest, s.State.Term)
		if s.State.Role == model.RolePrimary && s.State.Term > leader.Term {
			leader = RecordedPrimary{Instance: s.Instance, Term: s.State.Term}
		}
	}
	quiet := silent == 0 && !slices.ContainsFunc(g.Standings, func(s Standing) bool { return s.State.Held > leader.Term })
	switch {
	case silent > 1:
		return ConfirmedPrimary{}, false
	case leader.Term > 0 && leader.Term >= recorded.Term && newest <= leader.Term:
		return ConfirmedPrimary{RecordedPrimary: leader}, quiet || g.OrdersEnded
	case recorded.Term > 0 && newest <= recorded.Term:
		return ConfirmedPrimary{RecordedPrimary: recorded, Replace: g.answers(recorded.Instance)}, g.OrdersEnded
	default:
		return ConfirmedPrimary{}, false
	}
}

// answers reports whether an instance answered.
func (g RestoredGroup) answers(name model.InstanceName) bool {
	return slices.ContainsFunc(g.Standings, func(s Standing) bool { return s.Instance == name && s.Answered })
}
