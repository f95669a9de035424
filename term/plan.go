package term

import (
	"slices"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/tree"
	"github.com/crocusshore/crocusshore/view"
)

// NeedsStep reports whether the group needs any step, whatever the rank of this VM and whether or not the raised term is in effect yet.
func NeedsStep(in Input) bool {
	in.Rank = 0
	in.Pending = 0
	in.InEffect = true
	return in.Placement.Primary == "" || len(Plan(in)) > 0
}

// Plan returns the steps that the VM should take now.
func Plan(in Input) []Step {
	if in.Group == nil || len(in.Group.Instances) == 0 {
		return nil
	}
	if in.Pending < time.Duration(in.Rank)*RankDelay {
		return nil
	}
	switch {
	case in.Placement.Term == 0:
		return planFirst(in)
	case in.Placement.Primary == "":
		return planVacant(in)
	case mustReplace(in):
		return []Step{{Kind: Propose, Placement: NextTerm(in.Placement, "")}}
	case primaryLeaving(in):
		return planLeaving(in)
	default:
		return planRoles(in)
	}
}

// NextTerm returns the placement of the next term, with no primary yet; target is the instance that should become its primary, if any.
func NextTerm(place view.Placement, target model.InstanceName) view.Placement {
	next := place
	next.Term = place.Term + 1
	next.Primary = ""
	next.Target = target
	if place.Primary != "" {
		next.Previous = place.Primary
	}
	return next
}

// planFirst proposes the first term of a group, above the terms that its instances report.
func planFirst(in Input) []Step {
	if len(in.Status) < readQuorum(in.Group) {
		return nil
	}
	place := view.Placement{}
	for _, status := range in.Status {
		place.Term = max(place.Term, status.Term)
	}
	return []Step{{Kind: Propose, Placement: NextTerm(place, "")}}
}

func mustReplace(in Input) bool {
	if _, known := in.Group.Instance(in.Placement.Primary); !known {
		return true
	}
	return in.PrimaryFailed
}

func primaryLeaving(in Input) bool {
	primary, _ := in.Group.Instance(in.Placement.Primary)
	return primary.Leaving
}

// planLeaving hands over from a primary that is leaving to the instance of the same term with the furthest log, if there is one.
func planLeaving(in Input) []Step {
	var target model.InstanceName
	best := model.Mark{}
	for _, instance := range in.Group.Instances {
		status, answered := in.Status[instance.Name]
		if instance.Leaving || !answered || status.Term != in.Placement.Term {
			continue
		}
		if target == "" || best.Before(status.Mark()) {
			target, best = instance.Name, status.Mark()
		}
	}
	if target == "" {
		return planRoles(in)
	}
	return []Step{{Kind: Propose, Placement: NextTerm(in.Placement, target)}}
}

// planVacant finds a primary for a term that has none yet.
func planVacant(in Input) []Step {
	if in.Placement.Target != "" {
		if steps, possible := planHandover(in); possible {
			return steps
		}
	}
	if !in.InEffect {
		return nil
	}
	if orders := fenceOrders(in); len(orders) > 0 && countFenced(in) < readQuorum(in.Group) {
		return orders
	}
	return planAppointment(in)
}

// planHandover fences only the old primary and names the target once its log reaches as far as the old primary's log.
// It does not wait until the raised term is in effect: a fenced instance acknowledges nothing in its old term.
func planHandover(in Input) (steps []Step, possible bool) {
	old, oldAnswers := in.Status[in.Placement.Previous]
	target, targetAnswers := in.Status[in.Placement.Target]
	if !oldAnswers || !targetAnswers || in.PrimaryFailed {
		return nil, false
	}
	if old.Term < in.Placement.Term {
		return []Step{fence(in.Placement.Previous, in.Placement.Term)}, true
	}
	if old.Term > in.Placement.Term || target.Term > in.Placement.Term {
		return nil, false
	}
	if target.Mark().Before(old.Mark()) {
		return nil, true
	}
	return []Step{appoint(in.Placement, in.Placement.Target, target.Held)}, true
}

func fenceOrders(in Input) []Step {
	var steps []Step
	for _, instance := range in.Group.Instances {
		status, answered := in.Status[instance.Name]
		if answered && status.Term < in.Placement.Term {
			steps = append(steps, fence(instance.Name, in.Placement.Term))
		}
	}
	return steps
}

func fence(instance model.InstanceName, term model.Term) Step {
	return Step{Kind: Command, Instance: instance, Order: model.Order{Kind: model.OrderFence, Term: term}}
}

func countFenced(in Input) int {
	count := 0
	for _, instance := range in.Group.Instances {
		if status, answered := in.Status[instance.Name]; answered && status.Term == in.Placement.Term {
			count++
		}
	}
	return count
}

// readQuorum returns how many instances must be compared so that every acknowledged write is held by at least one of them.
func readQuorum(group *tree.Group) int {
	return len(group.Instances) - group.Majority() + 1
}

func planAppointment(in Input) []Step {
	if countFenced(in) < readQuorum(in.Group) {
		return nil
	}
	var best model.InstanceName
	var bestStatus model.UpstreamStatus
	var bestLeaving bool
	for _, instance := range in.Group.Instances {
		status, answered := in.Status[instance.Name]
		if !answered || status.Term != in.Placement.Term {
			continue
		}
		further := bestStatus.Mark().Before(status.Mark())
		better := status.Mark() == bestStatus.Mark() && bestLeaving && !instance.Leaving
		if best == "" || further || better {
			best, bestStatus, bestLeaving = instance.Name, status, instance.Leaving
		}
	}
	return []Step{appoint(in.Placement, best, bestStatus.Held)}
}

func appoint(place view.Placement, primary model.InstanceName, start model.Position) Step {
	next := place
	next.Primary = primary
	next.Target = ""
	starts := append([]view.TermStart{{Term: place.Term, Position: start}}, place.Starts...)
	next.Starts = slices.Clip(starts[:min(len(starts), view.MaxTermStarts)])
	return Step{Kind: Propose, Placement: next}
}

// planRoles orders each instance that answered into its role in the term.
func planRoles(in Input) []Step {
	primary, known := in.Group.Instance(in.Placement.Primary)
	if !known {
		return nil
	}
	var steps []Step
	for _, instance := range in.Group.Instances {
		status, answered := in.Status[instance.Name]
		if !answered || status.Term > in.Placement.Term {
			continue
		}
		isPrimary := instance.Name == primary.Name
		if isPrimary && (status.Term != in.Placement.Term || !status.Primary) {
			order := model.Order{Kind: model.OrderLead, Term: in.Placement.Term}
			steps = append(steps, Step{Kind: Command, Instance: instance.Name, Order: order})
		}
		if !isPrimary && needsFollow(status, in.Placement.Term) {
			order := model.Order{Kind: model.OrderFollow, Term: in.Placement.Term, Primary: primary.Address}
			steps = append(steps, Step{Kind: Command, Instance: instance.Name, Order: order})
		}
	}
	return steps
}

func needsFollow(status model.UpstreamStatus, term model.Term) bool {
	return status.Term < term || status.Primary || status.Fenced
}
