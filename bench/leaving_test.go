package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/load"
	"github.com/crocusshore/crocusshore/model"
)

// withLeaving returns a settings tree in which one instance is marked as leaving.
func withLeaving(t *testing.T, text string, group model.GroupName, instance model.InstanceName) string {
	var tree struct {
		Fleet, Teams, Routes any
		Groups               map[model.GroupName]struct {
			Instances map[model.InstanceName]map[string]any
		}
	}
	require.NoError(t, json.Unmarshal([]byte(text), &tree))
	tree.Groups[group].Instances[instance]["Leaving"] = true
	changed, err := json.Marshal(tree)
	require.NoError(t, err)
	return string(changed)
}

// TestLeavingInstanceGetsNoNewWork guards against requests sent to an instance that is marked as leaving: here the primary, after
// another one has replaced it.
func TestLeavingInstanceGetsNoNewWork(t *testing.T) {
	fleet := newSmallFleet(t, 3)
	p := &pathTest{fleet: fleet, client: load.NewClient(fleet.transport)}
	leaving := currentPrimary(fleet, "Truss1")
	first := p.do(0, "Estimators", "", appendLine("before", "order/leaving", "before"))
	require.Nil(t, first.Refusal)
	require.NoError(t, fleet.ApplySettings(context.Background(), withLeaving(t, fleet.settings, "Truss1", leaving)))
	require.Eventually(t, func() bool { return currentPrimary(fleet, "Truss1") != leaving }, 20*time.Second, 20*time.Millisecond)

	token := first.Token
	for i := range 30 {
		write := p.do(i%3, "Estimators", token, appendLine(fmt.Sprint("after", i), "order/leaving", fmt.Sprint("after", i)))
		require.Nil(t, write.Refusal)
		read := p.do((i+1)%3, "Estimators", write.Token, getLines("order/leaving"))
		require.Nil(t, read.Refusal)
		require.Len(t, read.Rows, i+2)
		require.NotEqual(t, string(leaving), write.ServedBy)
		require.NotEqual(t, string(leaving), read.ServedBy)
		token = read.Token
	}
}
