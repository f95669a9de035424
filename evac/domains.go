package evac

import (
	"maps"
	"slices"
	"time"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
)

const (
	// DefaultBound is the time after the request for an evacuation from which nothing may reach the failure domain, unless the settings of the VM
	// name another one.
	DefaultBound = 5 * time.Second
	// RefusalDetail is the reason in the refusal of a statement for an instance that is evacuated.
	RefusalDetail = "the failure domain of the instance is evacuated"
	// continueShare is the share of the bound for which open transactions may go on after this VM learned of the evacuation.
	continueShare = 0.5
	// marginShare is the share of the bound that remains after the last statement is sent, for its way to the instance.
	marginShare = 0.1
)

type (
	// Evacuation is the evacuation of one failure domain, as this VM learned of it.
	Evacuation struct {
		// LearnedAt is when this VM learned of it.
		LearnedAt time.Time
		// AbsentAt is the newest instant at which it is known not to have been requested; it is zero if none is known.
		AbsentAt time.Time
	}

	// Domains holds the evacuated failure domains; nil and empty are none. It does not change after it is published.
	Domains map[model.Domain]Evacuation

	// Reading is what a reading of the store showed.
	Reading struct {
		// At is when this VM learned of it.
		At time.Time
		// AbsentAt is the newest instant at which an evacuation that is new in this reading is known not to have been requested, or zero.
		AbsentAt time.Time
		// Present are the failure domains whose evacuation is requested.
		Present []model.Domain
	}

	// Changes are the failure domains whose evacuation began or ended with a reading.
	Changes struct {
		Began, Ended []model.Domain
	}
)

// ContinueUntil returns until when a transaction that was open when this VM learned of the evacuation may go on. The request may have been
// accepted just after AbsentAt, and from bound after its acceptance nothing may reach an instance of the failure domain. Without a known
// AbsentAt it may have been accepted long ago.
func (e Evacuation) ContinueUntil(bound time.Duration) time.Time {
	if e.AbsentAt.IsZero() {
		return e.LearnedAt
	}
	until := e.LearnedAt.Add(time.Duration(continueShare * float64(bound)))
	latest := e.AbsentAt.Add(bound - time.Duration(marginShare*float64(bound)))
	return clock.Earlier(latest, until)
}

// Update returns the evacuated failure domains after a reading. One that was evacuated before keeps its instants.
func (d Domains) Update(r Reading) (Domains, Changes) {
	var next Domains
	var changes Changes
	for _, domain := range r.Present {
		evacuation, known := d[domain]
		if !known {
			evacuation = Evacuation{LearnedAt: r.At, AbsentAt: r.AbsentAt}
			changes.Began = append(changes.Began, domain)
		}
		if next == nil {
			next = Domains{}
		}
		next[domain] = evacuation
	}
	for _, domain := range slices.Sorted(maps.Keys(d)) {
		if _, stays := next[domain]; !stays {
			changes.Ended = append(changes.Ended, domain)
		}
	}
	return next, changes
}

// MayStart reports whether the instances of a failure domain may take new statements and transactions.
func (d Domains) MayStart(domain model.Domain) bool {
	_, evacuated := d[domain]
	return !evacuated
}

// MayContinue reports whether a transaction that is open in a failure domain may go on at now.
func (d Domains) MayContinue(now time.Time, domain model.Domain, bound time.Duration) bool {
	evacuation, evacuated := d[domain]
	return !evacuated || now.Before(evacuation.ContinueUntil(bound))
}

// NeedsReplacement reports whether a primary has to be replaced because its failure domain is evacuated: it does if a replica of the group
// elsewhere may take over.
func (d Domains) NeedsReplacement(primary model.Instance, replicas []model.Instance) bool {
	if d.MayStart(primary.Domain) {
		return false
	}
	return slices.ContainsFunc(replicas, func(i model.Instance) bool { return !i.Leaving && d.MayStart(i.Domain) })
}
