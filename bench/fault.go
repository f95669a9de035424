package bench

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/admin"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
)

// fault is something that goes wrong with the primary of a group, and its end.
type fault struct {
	name   string
	inject func(ctx context.Context, f *Fleet, group model.GroupName) error
	heal   func(f *Fleet, group model.GroupName)
}

func primaryOf(f *Fleet, group model.GroupName) *stand.Instance {
	place := newestPlace(f, group)
	return f.Groups[group].Instance(place)
}

// newestPlace returns the primary of a group by the entry that knows the highest term.
func newestPlace(f *Fleet, group model.GroupName) model.InstanceName {
	var best model.Term
	var name model.InstanceName
	for _, server := range f.Entries() {
		if place := server.View().Placements[group]; place.Term >= best && place.Primary != "" {
			best, name = place.Term, place.Primary
		}
	}
	return name
}

func injectFault(fault stand.Fault) func(context.Context, *Fleet, model.GroupName) error {
	return func(_ context.Context, f *Fleet, group model.GroupName) error {
		primaryOf(f, group).Faults.Set(fault)
		return nil
	}
}

func healInstances(f *Fleet, group model.GroupName) {
	for _, instance := range f.Groups[group].Instances {
		instance.Faults.Set(stand.Fault{})
	}
}

// everyDomain returns the failure domains and the platform's place.
func everyDomain(f *Fleet) []model.Domain {
	return append([]model.Domain{stand.PlatformDomain}, f.Profile.Domains...)
}

func cutPrimary(_ context.Context, f *Fleet, group model.GroupName) error {
	f.Network.Isolate(primaryOf(f, group).Domain(), everyDomain(f), true)
	return nil
}

func healCuts(f *Fleet, _ model.GroupName) {
	for _, domain := range f.Profile.Domains {
		f.Network.Isolate(domain, everyDomain(f), false)
	}
}

// switchAway asks an entry to move the primary to another instance.
func switchAway(ctx context.Context, f *Fleet, group model.GroupName) error {
	operator, err := f.Operator(f.Entries()[0])
	if err != nil {
		return err
	}
	current := newestPlace(f, group)
	for _, instance := range f.Groups[group].Instances {
		if instance.Name() != current {
			_, err := operator.SwitchPrimary(ctx, &admin.InstanceRef{Instance: string(instance.Name())}, admin.SwitchPrimaryParams{Group: string(group)})
			return errors.Wrap(err, "planned switch")
		}
	}
	return errors.New("the group has no other instance")
}

func primaryFaults() []fault {
	return []fault{
		{name: "Crash", inject: injectFault(stand.Fault{Down: true}), heal: healInstances},
		{name: "Partition", inject: cutPrimary, heal: healCuts},
		{name: "Pause", inject: injectFault(stand.Fault{Paused: true}), heal: healInstances},
		{name: "Switch", inject: switchAway, heal: func(*Fleet, model.GroupName) {}},
	}
}

// settled tells whether every instance has its role in the newest term.
func settled(f *Fleet) bool {
	for _, name := range f.Profile.Groups {
		primary := primaryOf(f, name)
		if primary == nil {
			return false
		}
		want := primary.State().Term
		for _, instance := range f.Groups[name].Instances {
			state := instance.State()
			if state.Term != want || state.Fenced || state.Primary != (instance == primary) {
				return false
			}
		}
	}
	return true
}

func awaitSettled(ctx context.Context, f *Fleet, most time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	for !settled(f) {
		select {
		case <-ctx.Done():
			return errors.New("the groups did not settle in their roles")
		case <-time.After(startPoll):
		}
	}
	return nil
}
