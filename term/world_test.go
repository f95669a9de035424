package term

import (
	"fmt"
	"math/rand/v2"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/tree"
	"github.com/crocusshore/crocusshore/view"
)

// node is an instance in the randomised runs: its log holds the term of each entry.
type node struct {
	term    model.Term
	log     []model.Term
	primary bool
	fenced  bool
	leader  model.InstanceName
	down    bool
}

func (n *node) status() model.UpstreamStatus {
	status := model.UpstreamStatus{Term: n.term, Held: model.Position(len(n.log)), Primary: n.primary, Fenced: n.fenced}
	if len(n.log) > 0 {
		status.LogTerm = n.log[len(n.log)-1]
	}
	return status
}

// ack is a write that a caller was told is done.
type ack struct {
	position int
	term     model.Term
}

// world is one schedule: a group, the view's placement, and what went wrong so far.
type world struct {
	random *rand.Rand
	group  *tree.Group
	nodes  map[model.InstanceName]*node
	place  view.Placement
	// raisedAt is the step at which the term was raised; acknowledgements of the old one end a bound later.
	raisedAt int
	step     int
	answers  []ack
	acks     []ack
	// handedOver is set while the newest term came by a planned handover, whose fence stands in for the bound.
	handedOver bool
	faults     map[string]int
	plan       func(Input) []Step
	broken     string
}

const ackBound = 10

func newWorld(seed uint64, plan func(Input) []Step) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 7)),
		group:  &tree.Group{Name: "G"},
		nodes:  map[model.InstanceName]*node{},
		faults: map[string]int{},
		plan:   plan,
	}
	for _, name := range []model.InstanceName{"A", "B", "C"} {
		w.group.Instances = append(w.group.Instances, tree.Instance{Name: name})
		w.nodes[name] = &node{}
	}
	return w
}

func (w *world) pick() (model.InstanceName, *node) {
	name := w.group.Instances[w.random.IntN(len(w.group.Instances))].Name
	return name, w.nodes[name]
}

// run plays random events until an invariant breaks or the steps end.
func (w *world) run() {
	for w.step = 0; w.step < runSteps && w.broken == ""; w.step++ {
		switch event := w.random.IntN(40); {
		case event < 10:
			w.write()
		case event < 23:
			w.replicate()
		case event < 26:
			w.acknowledge()
		case event < 36:
			w.planOnce()
		case event < 38:
			w.toggleDown()
		case event < 39:
			w.suspect()
		default:
			w.handover()
		}
		w.check()
	}
}

// write appends at a node that takes itself for the primary; it may be the replaced one behind a partition.
func (w *world) write() {
	_, n := w.pick()
	if n.down || !n.primary || n.fenced {
		return
	}
	n.log = append(n.log, n.term)
}

// replicate lets a replica copy from its leader and acknowledges what a majority holds.
func (w *world) replicate() {
	_, n := w.pick()
	leader := w.nodes[n.leader]
	if n.down || leader == nil || leader.down || n.fenced || leader.term < n.term {
		return
	}
	n.log = append([]model.Term(nil), leader.log...)
	w.answer(leader)
}

// answer sends the answer to a write on its way once a majority holds it.
func (w *world) answer(leader *node) {
	if !leader.primary || len(leader.log) == 0 {
		return
	}
	holding := 0
	for _, n := range w.nodes {
		same := n.term == leader.term && !n.fenced && len(n.log) >= len(leader.log)
		if n == leader || same {
			holding++
		}
	}
	if holding >= w.group.Majority() {
		w.answers = append(w.answers, ack{position: len(leader.log), term: leader.term})
	}
}

// acknowledge lets an entry take an answer that was on its way and tell the caller, provided that the
// term is the view's newest, or was raised less than the bound ago and this entry has not heard of that.
func (w *world) acknowledge() {
	if len(w.answers) == 0 {
		return
	}
	i := w.random.IntN(len(w.answers))
	a := w.answers[i]
	w.answers = append(w.answers[:i], w.answers[i+1:]...)
	fresh := w.place.Term == a.term || (w.place.Term == a.term+1 && w.step-w.raisedAt < ackBound)
	if !fresh {
		w.faults["late answer"]++
		return
	}
	w.acks = append(w.acks, a)
	for name, n := range w.nodes {
		if n.primary && n.term > a.term && !w.handedOver {
			w.broken = fmt.Sprintf("step %d: a write of term %d was acknowledged while %s leads term %d", w.step, a.term, name, n.term)
		}
	}
}

func (w *world) toggleDown() {
	_, n := w.pick()
	n.down = !n.down && w.random.IntN(2) == 0
	w.faults["down"]++
}

// suspect lets the fleet take the primary for failed, rightly or not.
func (w *world) suspect() {
	if w.place.Primary == "" {
		return
	}
	w.faults["suspicion"]++
	w.raise(NextTerm(w.place, ""))
}

func (w *world) handover() {
	name, _ := w.pick()
	if w.place.Primary == "" || w.place.Primary == name {
		return
	}
	w.faults["handover"]++
	w.raise(NextTerm(w.place, name))
}

func (w *world) raise(place view.Placement) {
	w.place = place
	w.raisedAt = w.step
	w.handedOver = place.Target != ""
}

// planOnce lets a VM that reaches some of the instances plan and act.
func (w *world) planOnce() {
	in := Input{Group: w.group, Placement: w.place, InEffect: w.step-w.raisedAt >= ackBound, Status: map[model.InstanceName]model.UpstreamStatus{}}
	for _, instance := range w.group.Instances {
		n := w.nodes[instance.Name]
		if n.down || w.random.IntN(4) == 0 {
			w.faults["unreached"]++
			continue
		}
		in.Status[instance.Name] = n.status()
	}
	for _, step := range w.plan(in) {
		// An order or proposal can be lost or come late; a late proposal loses the race.
		if w.random.IntN(6) == 0 {
			w.faults["lost order"]++
			continue
		}
		w.take(step)
	}
}

func (w *world) take(step Step) {
	if step.Kind == Propose {
		if step.Placement.Term > w.place.Term {
			w.raise(step.Placement)
		} else {
			w.place = step.Placement
		}
		return
	}
	n := w.nodes[step.Instance]
	if n.down || step.Order.Term < n.term {
		return
	}
	switch step.Order.Kind {
	case model.OrderFence:
		if step.Order.Term > n.term {
			n.term, n.fenced, n.primary, n.leader = step.Order.Term, true, false, ""
		}
	case model.OrderLead:
		if n.primary && n.term == step.Order.Term {
			return
		}
		n.term, n.fenced, n.primary, n.leader = step.Order.Term, false, true, ""
		n.log = append(n.log, step.Order.Term)
	case model.OrderFollow:
		leader := w.nodes[w.place.Primary]
		if leader == nil || leader.down || !leader.primary || leader.term != step.Order.Term {
			return
		}
		n.term, n.fenced, n.primary, n.leader = step.Order.Term, false, false, w.place.Primary
		n.log = append([]model.Term(nil), leader.log[:min(len(leader.log), len(n.log))]...)
	}
}

// check asserts that the primary of the newest term holds every acknowledged write and is the only one.
func (w *world) check() {
	leaders := map[model.Term]int{}
	for _, n := range w.nodes {
		if n.primary {
			leaders[n.term]++
		}
		if !n.primary || n.term != w.place.Term {
			continue
		}
		for _, a := range w.acks {
			if len(n.log) < a.position || n.log[a.position-1] != a.term {
				w.broken = fmt.Sprintf("step %d: the primary of term %d lacks the acknowledged write at %d of term %d", w.step, n.term, a.position, a.term)
				return
			}
		}
	}
	for term, count := range leaders {
		if count > 1 {
			w.broken = fmt.Sprintf("step %d: term %d has %d primaries", w.step, term, count)
		}
	}
}
