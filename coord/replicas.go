package coord

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/retry"
	"github.com/crocusshore/crocusshore/state"
)

// replicasOutdated reports whether this VM may have to change the recorded replicas of a group. Only the VMs that read the store drop replicas
// that have left, since this takes requests to instances.
func (s *Supervisor) replicasOutdated(now time.Time, group model.GroupName, g *groupState, snapshot *state.Snapshot) bool {
	if g.compared != snapshot {
		g.compared = snapshot
		g.changes = elect.CompareReplicas(snapshot.Primaries[group].Replicas, registeredReplicas(snapshot, group))
	}
	if len(g.changes.Joined) > 0 && !g.changes.Unknown {
		return true
	}
	return s.droppable(now, group, g.changes) && s.turn(now).Reader >= 0
}

// droppable reports whether recorded replicas have left for good, so that nothing rests on them once the others hold what they confirmed.
func (s *Supervisor) droppable(now time.Time, group model.GroupName, changes elect.ReplicaChanges) bool {
	if len(changes.Restarted) > 0 {
		return true
	}
	return !changes.Complete() && s.config.Cache.AbsentReplicasGone(now, group)
}

// registeredReplicas returns the registered instances of a group that may confirm commits of its primary. An instance that reports that it is a
// primary confirms none.
func registeredReplicas(snapshot *state.Snapshot, group model.GroupName) []model.Instance {
	return slices.DeleteFunc(snapshot.GroupReplicas(group), func(i model.Instance) bool { return i.Role == model.RolePrimary })
}

// recordReplicas changes the recorded replicas of a group: it adds those that joined, or drops those that have left.
func (s *Supervisor) recordReplicas(ctx context.Context, group model.GroupName) error {
	snapshot := s.config.Cache.Snapshot()
	primary, record, registered := snapshot.Primary(group)
	if !registered || record.Next != nil {
		return nil
	}
	present := registeredReplicas(snapshot, group)
	changes := elect.CompareReplicas(record.Replicas, present)
	replicas := changes.Add(record.Replicas)
	if len(changes.Joined) == 0 || changes.Unknown {
		if !s.droppable(clock.Now(), group, changes) {
			return nil
		}
		if len(changes.Gone) > 0 && !s.config.Cache.AbsentReplicasGone(clock.Now(), group) {
			changes.Gone = nil
		}
		if err := s.awaitReplicaWithAll(ctx, primary, record, present); err != nil {
			return err
		}
		replicas = changes.Drop(record.Replicas)
	}
	return s.writeReplicas(ctx, record, replicas)
}

// awaitReplicaWithAll waits until a replica holds all that the primary has now, which includes every commit that a replica confirmed which has
// left by now.
func (s *Supervisor) awaitReplicaWithAll(ctx context.Context, primary model.Instance, record state.PrimaryRecord, replicas []model.Instance) error {
	reported, err := s.status(primary)
	if err != nil {
		return err
	}
	if reported.Role != model.RolePrimary || reported.Term != record.Term {
		return errors.Newf("instance %s is not the primary of term %d", primary.Name, record.Term)
	}
	for until := clock.Now().Add(catchUpTimeout); clock.Now().Before(until); {
		for _, replica := range replicas {
			state, err := s.status(replica)
			if err == nil && state.Role == model.RoleReplica && state.Term == record.Term && !state.Received.Before(reported.Received) {
				return nil
			}
		}
		if !retry.Sleep(ctx, retryInterval) {
			return ctx.Err()
		}
	}
	return errors.Newf("no replica has all that the primary %s had", primary.Name)
}

// writeReplicas writes the record with other replicas, unless the row has changed since it was read.
func (s *Supervisor) writeReplicas(ctx context.Context, record state.PrimaryRecord, replicas []model.Incarnation) error {
	next := record
	next.Replicas = replicas
	row, err := next.Row()
	if err != nil {
		return err
	}
	_, err = s.config.Rows.Apply(ctx, model.Change{
		Expected: []model.StoredRow{{Table: row.Table, Key: row.Key, Version: record.Version}}, Writes: []model.StoredRow{row},
	})
	s.config.Log.Info("replicas recorded", "group", record.Group, "term", record.Term, "before", names(record.Replicas), "after", names(replicas), "error", err)
	return err
}

// nextReplicas returns the replicas to record with a new primary.
func (r *replacement) nextReplicas(target model.Instance) []model.Incarnation {
	if r.record.Replicas == nil {
		return nil
	}
	registered := registeredReplicas(r.s.config.Cache.Snapshot(), r.group)
	all := elect.CompareReplicas(r.record.Replicas, registered).Add(r.record.Replicas)
	return without(all, target.Name)
}

// without returns the replicas other than those of a name.
func without(replicas []model.Incarnation, name model.InstanceName) []model.Incarnation {
	if replicas == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(replicas), func(r model.Incarnation) bool { return r.Name == name })
}

func names(replicas []model.Incarnation) []model.InstanceName {
	all := make([]model.InstanceName, 0, len(replicas))
	for _, r := range replicas {
		all = append(all, r.Name)
	}
	return all
}
