package bench

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/admin"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
)

// fault is a fault of a group's primary: inject starts it and heal ends it.
type fault struct {
	name   string
	inject func(ctx context.Context, f *Fleet, group model.GroupName) error
	heal   func(f *Fleet, group model.GroupName)
}

func primaryInstance(f *Fleet, group model.GroupName) *stand.Instance {
	name := currentPrimary(f, group)
	return f.Groups[group].Instance(name)
}

// currentPrimary returns the primary of a group according to the views of the entries. If the views differ, the primary of the highest
// term is returned. The name is empty if no view names a primary.
func currentPrimary(f *Fleet, group model.GroupName) model.InstanceName {
	var highestTerm model.Term
	var name model.InstanceName
	for _, server := range f.Entries() {
		if placement := server.View().Placements[group]; placement.Term >= highestTerm && placement.Primary != "" {
			highestTerm, name = placement.Term, placement.Primary
		}
	}
	return name
}

func injectFault(fault stand.Fault) func(context.Context, *Fleet, model.GroupName) error {
	return func(_ context.Context, f *Fleet, group model.GroupName) error {
		primaryInstance(f, group).Faults.Set(fault)
		return nil
	}
}

func healInstances(f *Fleet, group model.GroupName) {
	for _, instance := range f.Groups[group].Instances {
		instance.Faults.Set(stand.Fault{})
	}
}

// allDomains returns the failure domains of the profile and that of the platform.
func allDomains(f *Fleet) []model.Domain {
	return append([]model.Domain{stand.PlatformDomain}, f.Profile.Domains...)
}

func isolatePrimary(_ context.Context, f *Fleet, group model.GroupName) error {
	f.Network.Isolate(primaryInstance(f, group).Domain(), allDomains(f), true)
	return nil
}

func healIsolation(f *Fleet, _ model.GroupName) {
	for _, domain := range f.Profile.Domains {
		f.Network.Isolate(domain, allDomains(f), false)
	}
}

// switchPrimary makes another instance the primary through the operator interface of an entry.
func switchPrimary(ctx context.Context, f *Fleet, group model.GroupName) error {
	operator, err := f.Operator(f.Entries()[0])
	if err != nil {
		return err
	}
	current := currentPrimary(f, group)
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
		{name: "Partition", inject: isolatePrimary, heal: healIsolation},
		{name: "Pause", inject: injectFault(stand.Fault{Paused: true}), heal: healInstances},
		{name: "Switch", inject: switchPrimary, heal: func(*Fleet, model.GroupName) {}},
	}
}

// rolesApplied reports whether every instance has its role in the term of its group's primary and none is fenced.
func rolesApplied(f *Fleet) bool {
	for _, name := range f.Profile.Groups {
		primary := primaryInstance(f, name)
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

// awaitRoles waits until rolesApplied returns true, and fails after the timeout.
func awaitRoles(ctx context.Context, f *Fleet, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !rolesApplied(f) {
		select {
		case <-ctx.Done():
			return errors.New("the instances did not take their roles in time")
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}
