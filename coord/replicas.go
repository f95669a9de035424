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

const (
	// confirmTimeout bounds the wait for a replica that holds all that the primary has; it spans the usual replication lag.
	confirmTimeout = 700 * time.Millisecond
	// dropRetryDelay is the pause after an attempt to drop replicas that failed, since each attempt asks all replicas.
	dropRetryDelay = 3 * time.Second
)

// replicasOutdated reports whether this VM may have to change the recorded replicas of a group. Only the VMs that read the store drop replicas
// that have left, since this takes requests to instances.
func (s *Supervisor) replicasOutdated(now time.Time, group model.GroupName, g *groupState, snapshot *state.Snapshot) bool {
	if g.compared != snapshot {
		g.compared = snapshot
		g.changes = elect.CompareReplicas(snapshot.Primaries[group].Replicas, registeredReplicas(snapshot, group))
	}
	if !g.changes.Unknown && len(g.changes.Joined) > 0 {
		return true
	}
	if _, left := s.departed(now, group, g.changes); !left || now.Before(g.dropNotBefore) {
		return false
	}
	return s.turn(now).Reader >= 0
}

// departed returns the changes without the absent replicas that may still confirm commits, and whether there are replicas that have left.
func (s *Supervisor) departed(now time.Time, group model.GroupName, changes elect.ReplicaChanges) (elect.ReplicaChanges, bool) {
	if !s.config.Cache.AbsentReplicasGone(now, group) {
		changes.Gone = s.config.Cache.EndedReplicas(changes.Gone)
		return changes, len(changes.Restarted)+len(changes.Gone) > 0
	}
	return changes, !changes.Complete()
}

// registeredReplicas returns the registered instances of a group that may confirm commits of its primary. An instance that reports that it is a
// primary confirms none, unless it is recorded: then it was replaced, and its report is late.
func registeredReplicas(snapshot *state.Snapshot, group model.GroupName) []model.Instance {
	recorded := snapshot.Primaries[group].Replicas
	return slices.DeleteFunc(snapshot.GroupReplicas(group), func(i model.Instance) bool {
		return i.Role == model.RolePrimary && !slices.ContainsFunc(recorded, i.Incarnation().Equal)
	})
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
	if !changes.Unknown && len(changes.Joined) > 0 {
		return s.writeReplicas(ctx, record, changes.Add(record.Replicas))
	}
	changes, left := s.departed(clock.Now(), group, changes)
	if !left {
		return nil
	}
	if err := s.awaitReplicaWithAll(ctx, primary, record, present); err != nil {
		return err
	}
	return s.writeReplicas(ctx, record, changes.Drop(record.Replicas))
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
	for until := clock.Now().Add(confirmTimeout); clock.Now().Before(until); {
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
	next.Replicas, next.Write = replicas, state.NewWriteID()
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

// nextReplicas returns the replicas to record with a new primary. The old primary is one of them: once it is back, it may be the only one that
// confirms commits, before its registration shows it as a replica or while the store cannot be written.
func (r *replacement) nextReplicas(target model.Instance) []model.Incarnation {
	if r.record.Replicas == nil {
		return nil
	}
	registered := registeredReplicas(r.s.config.Cache.Snapshot(), r.group)
	if r.oldKnown {
		registered = slices.DeleteFunc(registered, func(i model.Instance) bool { return i.Name == r.old.Name })
		registered = append(registered, r.old)
	}
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
