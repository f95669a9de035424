package term

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/tree"
	"github.com/crocusshore/crocusshore/view"
)

const (
	runSchedules = 3000
	runSteps     = 300
)

// schedules returns how many schedules to run; CROCUSSHORE_SCHEDULES overrides the default.
func schedules() int {
	if n, err := strconv.Atoi(os.Getenv("CROCUSSHORE_SCHEDULES")); err == nil && n > 0 {
		return n
	}
	return runSchedules
}

// runAll runs the schedules until one violates an invariant, and returns the violation.
func runAll(plan func(Input) []Step) (violation string, acks int, faults map[string]int) {
	faults = map[string]int{}
	for seed := range schedules() {
		s := newSimulation(uint64(seed), plan)
		s.run()
		acks += len(s.acks)
		for name, count := range s.faults {
			faults[name] += count
		}
		if s.violation != "" {
			return fmt.Sprintf("seed %d, %s", seed, s.violation), acks, faults
		}
	}
	return "", acks, faults
}

func TestRandomisedRunsLoseNoAcknowledgedWrite(t *testing.T) {
	violation, acks, faults := runAll(Plan)
	require.Empty(t, violation)
	t.Logf("%d schedules of %d steps, %d acknowledged writes, faults: %v", schedules(), runSteps, acks, faults)
	require.Greater(t, acks, 10_000, "the runs must acknowledge writes")
	for _, fault := range []string{"down", "suspicion", "handover", "unreached", "lost order", "late answer"} {
		require.Positive(t, faults[fault], "the runs must contain the fault %q", fault)
	}
}

func TestRandomisedRunsFindBrokenPlans(t *testing.T) {
	broken := map[string]func(Input) []Step{
		"one fenced instance is enough": func(in Input) []Step {
			steps := Plan(in)
			if in.Placement.Primary == "" && in.InEffect && in.Placement.Term > 0 && countFenced(in) == 1 {
				return appointAny(in)
			}
			return steps
		},
		"the shortest log is named": func(in Input) []Step {
			steps := Plan(in)
			if len(steps) == 1 && steps[0].Kind == Propose && steps[0].Placement.Primary != "" && in.Placement.Target == "" {
				return appointShortest(in)
			}
			return steps
		},
		"the bound is not waited for": func(in Input) []Step {
			in.InEffect = true
			return Plan(in)
		},
		"a handover does not wait for the log": func(in Input) []Step {
			if target, ok := in.Status[in.Placement.Target]; ok && in.Placement.Primary == "" && in.Placement.Target != "" {
				return []Step{appoint(in.Placement, in.Placement.Target, target.Held)}
			}
			return Plan(in)
		},
	}
	for name, plan := range broken {
		t.Run(name, func(t *testing.T) {
			violation, _, _ := runAll(plan)
			require.NotEmpty(t, violation, "the runs must find the broken plan")
		})
	}
}

func appointAny(in Input) []Step {
	for _, instance := range in.Group.Instances {
		if status, ok := in.Status[instance.Name]; ok && status.Term == in.Placement.Term {
			return []Step{appoint(in.Placement, instance.Name, status.Held)}
		}
	}
	return nil
}

func appointShortest(in Input) []Step {
	var shortest model.InstanceName
	least := model.Position(1 << 40)
	for _, instance := range in.Group.Instances {
		if status, ok := in.Status[instance.Name]; ok && status.Term == in.Placement.Term && status.Held < least {
			shortest, least = instance.Name, status.Held
		}
	}
	return []Step{appoint(in.Placement, shortest, least)}
}

func TestPlanWaitsForHigherRankedVMs(t *testing.T) {
	in := Input{
		Group:         &tree.Group{Instances: []tree.Instance{{Name: "A"}, {Name: "B"}, {Name: "C"}}},
		Placement:     view.Placement{Term: 1, Primary: "A"},
		PrimaryFailed: true,
		Rank:          2,
	}
	require.Empty(t, Plan(in))
	in.Pending = 2 * RankDelay
	steps := Plan(in)
	require.Len(t, steps, 1)
	require.Equal(t, view.Placement{Term: 2, Previous: "A"}, steps[0].Placement)
	require.True(t, NeedsStep(in))
}
