package coord

import (
	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/model"
)

// errReturned ends a run that began without the old primary; the next run hands over from it.
var errReturned = errors.New("the old primary is back")

// findReturned looks for the old primary, which was not registered when the run began. If it finds the instance, under its name or another one,
// it sets old to it. An instance that restarts with its log registers again and continues as primary of its term if no replica was
// promoted meanwhile.
func (r *replacement) findReturned() bool {
	for _, instance := range r.s.config.Cache.Snapshot().GroupInstances(r.group) {
		if instance.Role != model.RolePrimary {
			continue
		}
		state, err := r.s.status(instance)
		if err != nil || state.Role != model.RolePrimary || state.Term != r.record.Term {
			continue
		}
		r.old, r.oldKnown = instance, true
		r.s.config.Log.Info("old primary is back", "group", r.group, "instance", instance.Name, "old-primary", r.record.Primary,
			"term", state.Term, "received", state.Received)
		return true
	}
	return false
}

// oldRegistered reports whether the old primary is still registered under the name by which this run knows it.
func (r *replacement) oldRegistered() bool {
	_, registered := r.s.config.Cache.Snapshot().Instances[r.old.Name]
	return r.oldKnown && registered
}
