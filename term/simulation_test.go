package term

import (
	"fmt"
	"math/rand/v2"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/tree"
	"github.com/crocusshore/crocusshore/view"
)

// node is an instance in the randomised runs; its log holds the term of each entry.
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

// ack is the acknowledgement of a write, under way to a caller or received by it.
type ack struct {
	position int
	term     model.Term
}

// simulation is the state of one random schedule: a group, its placement in the view, the acknowledgements and the faults so far.
type simulation struct {
	random    *rand.Rand
	group     *tree.Group
	nodes     map[model.InstanceName]*node
	placement view.Placement
	// raisedAt is the step at which the term was raised; writes of the old one can be acknowledged until ackBound steps later.
	raisedAt int
	step     int
	answers  []ack
	acks     []ack
	// handedOver is set if a planned handover raised the newest term; its fence replaces the wait for the bound.
	handedOver bool
	faults     map[string]int
	plan       func(Input) []Step
	violation  string
}

const ackBound = 10

func newSimulation(seed uint64, plan func(Input) []Step) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 7)),
		group:  &tree.Group{Name: "G"},
		nodes:  map[model.InstanceName]*node{},
		faults: map[string]int{},
		plan:   plan,
	}
	for _, name := range []model.InstanceName{"A", "B", "C"} {
		s.group.Instances = append(s.group.Instances, tree.Instance{Name: name})
		s.nodes[name] = &node{}
	}
	return s
}

func (s *simulation) pickNode() (model.InstanceName, *node) {
	name := s.group.Instances[s.random.IntN(len(s.group.Instances))].Name
	return name, s.nodes[name]
}

// run plays random events until an invariant is violated or all steps are done.
func (s *simulation) run() {
	for s.step = 0; s.step < runSteps && s.violation == ""; s.step++ {
		switch event := s.random.IntN(40); {
		case event < 10:
			s.write()
		case event < 23:
			s.replicate()
		case event < 26:
			s.acknowledge()
		case event < 36:
			s.planOnce()
		case event < 38:
			s.toggleDown()
		case event < 39:
			s.suspect()
		default:
			s.handover()
		}
		s.check()
	}
}

// write appends an entry at a node that considers itself the primary; it may be a replaced primary behind a partition.
func (s *simulation) write() {
	_, n := s.pickNode()
	if n.down || !n.primary || n.fenced {
		return
	}
	n.log = append(n.log, n.term)
}

// replicate copies the log of the leader to a replica, and lets the leader answer if a majority holds its log.
func (s *simulation) replicate() {
	_, n := s.pickNode()
	leader := s.nodes[n.leader]
	if n.down || leader == nil || leader.down || n.fenced || leader.term < n.term {
		return
	}
	n.log = append([]model.Term(nil), leader.log...)
	s.answer(leader)
}

// answer sends the answer to the leader's last write if a majority holds it.
func (s *simulation) answer(leader *node) {
	if !leader.primary || len(leader.log) == 0 {
		return
	}
	holding := 0
	for _, n := range s.nodes {
		same := n.term == leader.term && !n.fenced && len(n.log) >= len(leader.log)
		if n == leader || same {
			holding++
		}
	}
	if holding >= s.group.Majority() {
		s.answers = append(s.answers, ack{position: len(leader.log), term: leader.term})
	}
}

// acknowledge delivers an answer that was under way to an entry VM. The VM acknowledges the write to the caller if the write's term is
// the newest of the view. It also does so if the next term was raised less than the bound ago and it has not received that change.
func (s *simulation) acknowledge() {
	if len(s.answers) == 0 {
		return
	}
	i := s.random.IntN(len(s.answers))
	a := s.answers[i]
	s.answers = append(s.answers[:i], s.answers[i+1:]...)
	fresh := s.placement.Term == a.term || (s.placement.Term == a.term+1 && s.step-s.raisedAt < ackBound)
	if !fresh {
		s.faults["late answer"]++
		return
	}
	s.acks = append(s.acks, a)
	for name, n := range s.nodes {
		if n.primary && n.term > a.term && !s.handedOver {
			s.violation = fmt.Sprintf("step %d: a write of term %d was acknowledged while %s is the primary of term %d", s.step, a.term, name, n.term)
		}
	}
}

func (s *simulation) toggleDown() {
	_, n := s.pickNode()
	n.down = !n.down && s.random.IntN(2) == 0
	s.faults["down"]++
}

// suspect raises the term as if the primary had failed, whether it has or not.
func (s *simulation) suspect() {
	if s.placement.Primary == "" {
		return
	}
	s.faults["suspicion"]++
	s.raise(NextTerm(s.placement, ""))
}

func (s *simulation) handover() {
	name, _ := s.pickNode()
	if s.placement.Primary == "" || s.placement.Primary == name {
		return
	}
	s.faults["handover"]++
	s.raise(NextTerm(s.placement, name))
}

func (s *simulation) raise(place view.Placement) {
	s.placement = place
	s.raisedAt = s.step
	s.handedOver = place.Target != ""
}

// planOnce lets a VM that reaches some of the instances plan and act.
func (s *simulation) planOnce() {
	in := Input{Group: s.group, Placement: s.placement, InEffect: s.step-s.raisedAt >= ackBound, Status: map[model.InstanceName]model.UpstreamStatus{}}
	for _, instance := range s.group.Instances {
		n := s.nodes[instance.Name]
		if n.down || s.random.IntN(4) == 0 {
			s.faults["unreached"]++
			continue
		}
		in.Status[instance.Name] = n.status()
	}
	for _, step := range s.plan(in) {
		// An order or proposal can be lost or arrive late; a late proposal conflicts with a newer one and is dropped.
		if s.random.IntN(6) == 0 {
			s.faults["lost order"]++
			continue
		}
		s.apply(step)
	}
}

func (s *simulation) apply(step Step) {
	if step.Kind == Propose {
		if step.Placement.Term > s.placement.Term {
			s.raise(step.Placement)
		} else {
			s.placement = step.Placement
		}
		return
	}
	n := s.nodes[step.Instance]
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
		leader := s.nodes[s.placement.Primary]
		if leader == nil || leader.down || !leader.primary || leader.term != step.Order.Term {
			return
		}
		n.term, n.fenced, n.primary, n.leader = step.Order.Term, false, false, s.placement.Primary
		n.log = append([]model.Term(nil), leader.log[:min(len(leader.log), len(n.log))]...)
	}
}

// check asserts that the primary of the newest term holds every acknowledged write, and that no term has two primaries.
func (s *simulation) check() {
	leaders := map[model.Term]int{}
	for _, n := range s.nodes {
		if n.primary {
			leaders[n.term]++
		}
		if !n.primary || n.term != s.placement.Term {
			continue
		}
		for _, a := range s.acks {
			if len(n.log) < a.position || n.log[a.position-1] != a.term {
				s.violation = fmt.Sprintf("step %d: the primary of term %d lacks the acknowledged write at %d of term %d", s.step, n.term, a.position, a.term)
				return
			}
		}
	}
	for term, count := range leaders {
		if count > 1 {
			s.violation = fmt.Sprintf("step %d: term %d has %d primaries", s.step, term, count)
		}
	}
}
