package coord

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/state"
)

// recordPrimary records the primary of a group that has no primary record yet. It fails unless exactly one instance reports that it is
// the primary.
func (s *Supervisor) recordPrimary(ctx context.Context, group model.GroupName) error {
	var primaries []model.Instance
	for _, i := range s.config.Cache.Snapshot().GroupInstances(group) {
		if i.Role == model.RolePrimary {
			primaries = append(primaries, i)
		}
	}
	if len(primaries) != 1 {
		return errors.Newf("%d instances report that they are the primary", len(primaries))
	}
	reported, err := s.status(primaries[0])
	if err != nil {
		return err
	}
	if reported.Role != model.RolePrimary {
		return errors.Newf("instance %s is no longer a primary", primaries[0].Name)
	}
	era, _ := s.config.Cache.Era()
	record := state.PrimaryRecord{Group: group, Term: reported.Term, Primary: primaries[0].Name, Replicas: []model.Incarnation{}, Era: era}
	for _, i := range s.config.Cache.Snapshot().GroupInstances(group) {
		if i.Name != record.Primary {
			record.Replicas = append(record.Replicas, i.Incarnation())
		}
	}
	row, err := record.Row()
	if err != nil {
		return err
	}
	_, err = s.config.Rows.Apply(ctx, model.Change{
		Expected: []model.StoredRow{{Table: row.Table, Key: row.Key}}, Writes: []model.StoredRow{row},
	})
	s.config.Log.Info("primary recorded", "group", group, "instance", record.Primary, "term", record.Term, "error", err)
	return err
}

// orderTimeout bounds a status request or an order to an instance, including the connection setup.
const orderTimeout = 350 * time.Millisecond

// status asks an instance for its state on a separate connection.
func (s *Supervisor) status(instance model.Instance) (model.InstanceState, error) {
	return s.callInstance(instance, func(conn model.InstanceConn, deadline time.Time) (model.InstanceState, error) {
		return conn.Status(deadline)
	})
}

// callInstance runs one order or request on a separate connection.
func (s *Supervisor) callInstance(instance model.Instance, run func(model.InstanceConn, time.Time) (model.InstanceState, error)) (model.InstanceState, error) {
	deadline := clock.Wall(clock.Now().Add(orderTimeout))
	conn, err := s.config.Dialer.Dial(deadline, instance, model.ProxyTeam)
	if err != nil {
		return model.InstanceState{}, err
	}
	defer conn.Close()
	return run(conn, deadline)
}
