package view

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// clockMarginShare and clockMargin cover the drift of clocks over a bound that is waited for.
	clockMarginShare = 100
	clockMargin      = 10 * time.Millisecond
)

// Activation decides when a committed change is in force.
//
// It is once a majority of each set of stewards was told, or their term has
// ended, and every confirmation from before has lapsed since.
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
	// CommittedBy is an instant at which the commit had surely taken effect.
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
	return d + d/clockMarginShare + clockMargin
}

// Version returns the version that the activation is for.
func (a *Activation) Version() model.Version { return a.version }

// Acknowledge records that a steward holds the version, or that its process is known to be dead.
func (a *Activation) Acknowledge(now time.Time, boot model.BootID) {
	if _, already := a.acked[boot]; !already {
		a.acked[boot] = now
	}
}

// InEffectAt returns when the change comes into force by what is known now; it only moves closer.
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

// InEffect tells whether the change is in force.
func (a *Activation) InEffect(now time.Time) bool {
	return !now.Before(a.InEffectAt())
}

// Missing returns the stewards that were not told yet.
func (a *Activation) Missing() []Member {
	var missing []Member
	seen := map[model.BootID]bool{}
	for _, set := range a.sets {
		for _, member := range set {
			if _, told := a.acked[member.Boot]; told || seen[member.Boot] {
				continue
			}
			seen[member.Boot] = true
			missing = append(missing, member)
		}
	}
	return missing
}

// majorityAt returns when the last steward that a majority needs was told.
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
