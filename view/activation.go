package view

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// A wait is extended by one part in clockMarginDivisor and by clockMargin, to cover clock drift.
	clockMarginDivisor = 100
	clockMargin        = 10 * time.Millisecond
)

// Activation decides when a committed change is in effect.
//
// First a majority of each set of stewards must have acknowledged the change, or the steward term must have
// passed since the commit. After that, the bound must pass, so that every earlier confirmation has expired.
// An Activation is not safe for concurrent use.
type Activation struct {
	version     model.Version
	sets        [][]Member
	bound       time.Duration
	stewardTerm time.Duration
	committedBy time.Time
	acked       map[model.BootID]time.Time
}

// ActivationConfig describes a committed change.
type ActivationConfig struct {
	// Before and After are the views on both sides of the change.
	Before *State
	After  *State
	Change Change
	// CommittedBy is an instant at which the commit had certainly happened.
	CommittedBy time.Time
}

// NewActivation returns the activation of a change.
func NewActivation(config ActivationConfig) *Activation {
	before, after := config.Before.FleetSettings(), config.After.FleetSettings()
	bound := max(before.WriteBound, after.WriteBound)
	if config.Change.Touches(nodePrefix) || config.Change.Touches(keyPrefix) {
		bound = max(bound, before.KeyBound, after.KeyBound)
	}
	sets := append(config.Before.Stewards.Sets(), config.After.Stewards.Sets()...)
	return &Activation{
		version:     config.Change.Version,
		sets:        sets,
		bound:       withMargin(bound),
		stewardTerm: withMargin(max(before.StewardTerm, after.StewardTerm)),
		committedBy: config.CommittedBy,
		acked:       map[model.BootID]time.Time{},
	}
}

func withMargin(d time.Duration) time.Duration {
	return d + d/clockMarginDivisor + clockMargin
}

// Version returns the version that the activation is for.
func (a *Activation) Version() model.Version { return a.version }

// Acknowledge records that a steward holds the version, or that its process has ended. Either counts as acknowledged.
func (a *Activation) Acknowledge(now time.Time, boot model.BootID) {
	if _, already := a.acked[boot]; !already {
		a.acked[boot] = now
	}
}

// InEffectAt returns when the change takes effect, given the acknowledgements so far. Until the steward term after the commit has
// passed, a further acknowledgement can only move it earlier.
func (a *Activation) InEffectAt() time.Time {
	latest := a.committedBy
	for _, set := range a.sets {
		at, ok := a.majorityAt(set)
		if !ok {
			return a.committedBy.Add(a.stewardTerm + a.bound)
		}
		if at.After(latest) {
			latest = at
		}
	}
	return latest.Add(a.bound)
}

// InEffect reports whether the change is in effect.
func (a *Activation) InEffect(now time.Time) bool {
	return !now.Before(a.InEffectAt())
}

// Missing returns the stewards that have not acknowledged the change yet.
func (a *Activation) Missing() []Member {
	var missing []Member
	listed := map[model.BootID]bool{}
	for _, set := range a.sets {
		for _, member := range set {
			if _, acked := a.acked[member.Boot]; acked || listed[member.Boot] {
				continue
			}
			listed[member.Boot] = true
			missing = append(missing, member)
		}
	}
	return missing
}

// majorityAt returns when a majority of a set had acknowledged the change, and whether it has.
func (a *Activation) majorityAt(set []Member) (time.Time, bool) {
	var times []time.Time
	for _, member := range set {
		if at, ok := a.acked[member.Boot]; ok {
			times = append(times, at)
		}
	}
	need := majority(len(set))
	if len(times) < need {
		return time.Time{}, false
	}
	sortTimes(times)
	return times[need-1], true
}
