package term

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/tree"
	"github.com/crocusshore/crocusshore/view"
)

// RankDelay is how long a VM waits before it acts, for each VM that ranks above it. The VMs above it can thus act first.
const RankDelay = 300 * time.Millisecond

// Input is the state from which a VM plans the steps for one group.
type Input struct {
	Group     *tree.Group
	Placement view.Placement
	// InEffect reports whether the change that raised the term is in effect.
	InEffect bool
	// PrimaryFailed reports whether a majority of failure domains cannot reach the primary.
	PrimaryFailed bool
	// Status holds the status of the instances that answered recently.
	Status map[model.InstanceName]model.UpstreamStatus
	// Rank is the rank of this VM among those that may act, from 0.
	Rank int
	// Pending is how long the group has needed a step.
	Pending time.Duration
}

// Kind is what a step does.
type Kind int

const (
	// Propose commits a new placement to the view.
	Propose Kind = iota + 1
	// Command sends an order to an instance.
	Command
)

// Step is one action of a plan.
type Step struct {
	Kind      Kind
	Placement view.Placement
	Instance  model.InstanceName
	Order     model.Order
}
