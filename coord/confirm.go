package coord

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/state"
)

// confirmRetryDelay is the pause after an attempt to confirm a primary that failed, since each attempt asks all instances.
const confirmRetryDelay = time.Second

// confirmDue reports whether this VM may confirm primaries: the instances had the time to register again, and either this VM reads the store for its failure
// domain, or no forgotten order can be under way, so that the readers should have succeeded.
func (s *Supervisor) confirmDue(now time.Time) bool {
	if !s.config.Cache.RegisteredAgain(now) {
		return false
	}
	_, since := s.config.Cache.Era()
	return s.turn(now).Reader >= 0 || elect.OrdersEnded(now, since)
}

// confirmPrimary records the primary of a group anew after the store came back from an older copy, which may name an earlier primary. It needs no
// coordinator lease: it orders nothing, and records an instance only if no order can be under way that replaces it.
func (s *Supervisor) confirmPrimary(ctx context.Context, group model.GroupName) error {
	snapshot := s.config.Cache.Snapshot()
	stored, unconfirmed := snapshot.Unconfirmed[group]
	if !unconfirmed {
		return nil
	}
	known := snapshot.Primaries[group]
	era, since := s.config.Cache.Era()
	restored := elect.RestoredGroup{
		Known:      elect.RecordedPrimary{Instance: known.Primary, Term: known.Term},
		Stored:     elect.RecordedPrimary{Instance: stored.Primary, Term: stored.Term},
		Registered: s.config.Cache.RegisteredAgain(clock.Now()), OrdersEnded: elect.OrdersEnded(clock.Now(), since),
	}
	if restored.Registered {
		restored.Standings = s.askStandings(snapshot.GroupInstances(group))
	}
	if !s.config.Cache.AbsentReplicasGone(clock.Now(), group) {
		restored.Absent = countAbsent(snapshot.GroupInstances(group), known, stored)
	}
	confirmed, ok := elect.ConfirmPrimary(restored)
	if !ok {
		return errors.Newf("the primary of era %d is not known yet: known %v, stored %v, instances %v", era, restored.Known, restored.Stored, restored.Standings)
	}
	record := state.PrimaryRecord{
		Group: group, Term: confirmed.Term, Primary: confirmed.Instance, Era: era, Write: state.NewWriteID(),
		Replicas: without(mergeReplicas(snapshot.GroupInstances(group), known, stored), confirmed.Instance),
	}
	if confirmed.Replace {
		record.Next = &state.Intent{Term: confirmed.Term + 1} // Whoever holds the coordinator lease resumes it.
	}
	row, err := record.Row()
	if err != nil {
		return err
	}
	version, err := s.config.Rows.Apply(ctx, model.Change{
		Expected: []model.StoredRow{{Table: row.Table, Key: row.Key, Version: stored.Version}}, Writes: []model.StoredRow{row},
	})
	s.config.Log.Info("primary confirmed after the store came back from an older copy", "group", group, "era", era, "instance", record.Primary, "term", record.Term,
		"replace", confirmed.Replace, "known", restored.Known, "stored", restored.Stored, "replicas", names(record.Replicas), "row-version", version, "error", err)
	return err
}

// countAbsent returns the number of instances that records name and that are not registered.
func countAbsent(registered []model.Instance, records ...state.PrimaryRecord) int {
	absent := map[model.InstanceName]bool{}
	for _, record := range records {
		for _, name := range append(names(record.Replicas), record.Primary) {
			absent[name] = true
		}
	}
	delete(absent, "") // A record that does not exist names no primary.
	for _, i := range registered {
		delete(absent, i.Name)
	}
	return len(absent)
}

// askStandings asks instances for their state in parallel.
func (s *Supervisor) askStandings(instances []model.Instance) []elect.Standing {
	standings := make([]elect.Standing, len(instances))
	var wait sync.WaitGroup
	for i, instance := range instances {
		wait.Go(func() {
			reported, err := s.status(instance)
			standings[i] = elect.Standing{Instance: instance.Name, Answered: err == nil, State: reported}
		})
	}
	wait.Wait()
	return standings
}

// mergeReplicas returns the instances that an acknowledged commit may rest on according to records any of which may be out of date: those that they name and
// those that are registered. It returns nil if a record does not tell.
func mergeReplicas(registered []model.Instance, records ...state.PrimaryRecord) []model.Incarnation {
	merged := []model.Incarnation{}
	add := func(r model.Incarnation) {
		if !slices.ContainsFunc(merged, r.Equal) {
			merged = append(merged, r)
		}
	}
	for _, i := range registered {
		add(i.Incarnation())
	}
	for _, record := range records {
		if record.Primary == "" {
			continue
		}
		if record.Replicas == nil {
			return nil
		}
		for _, r := range record.Replicas {
			add(r)
		}
		if !slices.ContainsFunc(registered, func(i model.Instance) bool { return i.Name == record.Primary }) {
			add(model.Incarnation{Name: record.Primary}) // It may come back as a replica; its start is not recorded.
		}
	}
	return merged
}
