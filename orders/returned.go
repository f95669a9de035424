package orders

import (
	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/model"
)

// errReturned ends a run that began without the old primary; the next one hands over from it.
var errReturned = errors.New("the old primary is back under another name")

// findReturned looks for the old primary, whose registration is gone, under another name: an instance that comes back with its log
// registers anew and goes on in its term, if nobody was promoted meanwhile.
func (r *replacement) findReturned() bool {
	for _, instance := range r.s.config.World.Snapshot().GroupInstances(r.group) {
		if instance.Role != model.RolePrimary || instance.Name == r.lead.Primary {
			continue
		}
		state, err := r.s.status(instance)
		if err != nil || state.Role != model.RolePrimary || state.Term != r.lead.Term {
			continue
		}
		r.old, r.oldKnown = instance, true
		r.s.config.Log.Info("old primary is back", "group", r.group, "instance", instance.Name, "was", r.lead.Primary, "term", state.Term, "received", state.Received)
		return true
	}
	return false
}
