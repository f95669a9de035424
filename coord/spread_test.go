package coord

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/state"
)

// TestPrimariesStaySpreadOverFailureDomains guards against primaries that gather in one failure domain, whose isolation then stops the writes
// of most groups. The replica whose answer came first took over, which is one in the failure domain of the VM that replaces all primaries.
func TestPrimariesStaySpreadOverFailureDomains(t *testing.T) {
	const groups, domains, replacements = 12, 3, 200
	random := rand.New(rand.NewPCG(5, 1))
	snapshot := &state.Snapshot{Instances: map[model.InstanceName]model.Instance{}, Primaries: map[model.GroupName]state.PrimaryRecord{}}
	for g := range groups {
		group := model.GroupName(fmt.Sprint("g", g))
		for d := range domains {
			name := model.InstanceName(fmt.Sprintf("i-%d-%d", g, d))
			snapshot.Instances[name] = model.Instance{Name: name, Group: group, Domain: model.Domain(fmt.Sprint(d))}
		}
		snapshot.Primaries[group] = state.PrimaryRecord{Group: group, Primary: model.InstanceName(fmt.Sprintf("i-%d-%d", g, g%domains))}
	}
	for range replacements {
		group := model.GroupName(fmt.Sprint("g", random.IntN(groups)))
		record := snapshot.Primaries[group]
		var replicas []elect.Replica
		for _, instance := range snapshot.GroupInstances(group) { // The nearest replica answers first.
			if instance.Name != record.Primary {
				replicas = append(replicas, elect.Replica{Instance: instance, Paused: true})
			}
		}
		sortBySpread(replicas, primariesByDomain(snapshot, group))
		chosen, ok := elect.FindCaughtUp(replicas, model.Mark{})
		require.True(t, ok)
		record.Primary = chosen.Name
		snapshot.Primaries[group] = record
	}
	most := 0
	for _, count := range primariesByDomain(snapshot, "") {
		most = max(most, count)
	}
	require.LessOrEqual(t, most, groups/domains+1)
}
