package coord

import (
	"time"

	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/state"
)

// observeEvacuation reports whether the primary of a group has to be replaced now because its failure domain is evacuated. It counts an announcement by any
// VM as an attempt, so that all VMs together make no more attempts than one VM would. It must be called before the intent is recorded as observed.
func (g *groupState) observeEvacuation(now time.Time, snapshot *state.Snapshot, primary model.Instance, record state.PrimaryRecord) bool {
	replicas := snapshot.GroupReplicas(record.Group)
	if !snapshot.Evacuated.NeedsReplacement(primary, replicas) {
		return false
	}
	g.evacuationAttempts.Observe(snapshot.Evacuated.SituationOf(primary, replicas))
	if record.Next != nil && g.intentVersion != record.Version {
		g.evacuationAttempts.Record(now)
	}
	return g.evacuationAttempts.MayTry(now)
}

// handOverReplicas returns the observed replicas to which an old primary that still answers may be handed over: if it is replaced only because of an
// evacuation, those that are not evacuated, and otherwise all.
func (r *replacement) handOverReplicas(replicas []elect.Replica) []elect.Replica {
	if r.planned && !r.old.Leaving && !r.s.config.Cache.Snapshot().Evacuated.MayStart(r.old.Domain) {
		return elect.Unevacuated(replicas)
	}
	return replicas
}
