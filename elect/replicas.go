package elect

import (
	"slices"

	"github.com/crocusshore/crocusshore/model"
)

// ReplicaChanges are the differences between the recorded replicas of a group and those that are registered.
type ReplicaChanges struct {
	// Unknown reports that no replicas are recorded.
	Unknown bool
	// Joined are registered and not recorded. An acknowledged commit may rest on them from now on.
	Joined []model.Incarnation
	// Restarted are recorded and have started again since; Gone are recorded and not registered. An acknowledged commit may rest on them alone.
	Restarted, Gone []model.Incarnation
}

// CompareReplicas compares the recorded replicas of a group with its registered instances other than the primary.
func CompareReplicas(recorded []model.Incarnation, registered []model.Instance) ReplicaChanges {
	changes := ReplicaChanges{Unknown: recorded == nil}
	for _, i := range registered {
		if !slices.ContainsFunc(recorded, i.Incarnation().Equal) {
			changes.Joined = append(changes.Joined, i.Incarnation())
		}
	}
	for _, r := range recorded {
		switch at := slices.IndexFunc(registered, func(i model.Instance) bool { return i.Name == r.Name }); {
		case at < 0:
			changes.Gone = append(changes.Gone, r)
		case !registered[at].Incarnation().Equal(r):
			changes.Restarted = append(changes.Restarted, r)
		}
	}
	return changes
}

// Complete reports whether the registered replicas include every one that an acknowledged commit may rest on.
func (c ReplicaChanges) Complete() bool {
	return !c.Unknown && len(c.Restarted) == 0 && len(c.Gone) == 0
}

// Add returns the recorded replicas and those that joined.
func (c ReplicaChanges) Add(recorded []model.Incarnation) []model.Incarnation {
	return append(slices.Clone(recorded), c.Joined...)
}

// Drop returns the recorded replicas without those that have left. Before it is recorded, one of the remaining replicas must have been found
// to hold all that was acknowledged until the others had left.
func (c ReplicaChanges) Drop(recorded []model.Incarnation) []model.Incarnation {
	if c.Unknown {
		return append([]model.Incarnation{}, c.Joined...)
	}
	left := slices.Concat(c.Restarted, c.Gone)
	return slices.DeleteFunc(slices.Clone(recorded), func(r model.Incarnation) bool { return slices.ContainsFunc(left, r.Equal) })
}
