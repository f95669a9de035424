package orders

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/world"
)

// adopt names the primary of a group that no row names yet: the only instance that says it is one.
func (s *Supervisor) adopt(ctx context.Context, group model.GroupName) error {
	var primaries []model.Instance
	for _, i := range s.config.World.Snapshot().GroupInstances(group) {
		if i.Role == model.RolePrimary {
			primaries = append(primaries, i)
		}
	}
	if len(primaries) != 1 {
		return errors.Newf("%d instances say that they are the primary", len(primaries))
	}
	state, err := s.status(primaries[0])
	if err != nil {
		return err
	}
	if state.Role != model.RolePrimary {
		return errors.Newf("instance %s is no primary any more", primaries[0].Name)
	}
	lead := world.PrimaryRecord{Group: group, Term: state.Term, Primary: primaries[0].Name}
	row, err := lead.Row()
	if err != nil {
		return err
	}
	_, err = s.config.Rows.Apply(ctx, model.Change{
		Expected: []model.StoredRow{{Table: row.Table, Key: row.Key}}, Writes: []model.StoredRow{row},
	})
	s.config.Log.Info("primary adopted", "group", group, "instance", lead.Primary, "term", lead.Term, "error", err)
	return err
}

// orderTimeout bounds a question or order to an instance together with its connection.
const orderTimeout = 350 * time.Millisecond

// status asks an instance for its state on a connection of its own.
func (s *Supervisor) status(instance model.Instance) (model.InstanceState, error) {
	return s.order(instance, func(link model.InstanceConn, deadline time.Time) (model.InstanceState, error) {
		return link.Status(deadline)
	})
}

// order runs one order on a connection of its own.
func (s *Supervisor) order(instance model.Instance, run func(model.InstanceConn, time.Time) (model.InstanceState, error)) (model.InstanceState, error) {
	deadline := clock.Wall(clock.Now().Add(orderTimeout))
	link, err := s.config.Dialer.Dial(deadline, instance, model.ProxyTeam)
	if err != nil {
		return model.InstanceState{}, err
	}
	defer link.Close()
	return run(link, deadline)
}
