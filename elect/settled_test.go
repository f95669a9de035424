package elect

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

// TestChooseWaitsForTheStartsOfReplicas guards against lost commits after a replica started again: until it was registered anew, its empty log
// counted as the one that commits rested on, and the other replica was promoted, which had received nothing.
func TestChooseWaitsForTheStartsOfReplicas(t *testing.T) {
	confirmed := Release{Known: mark(1, 9), Complete: true}
	for _, c := range []struct {
		name     string
		a, b     int
		releases []Release
		// oneSilent is set if a VM did not confirm.
		oneSilent bool
		want      string
	}{
		{name: "one holds nothing", a: 5, releases: []Release{confirmed}},
		{name: "one holds nothing, the other all that was observed", a: 9, releases: []Release{confirmed}, want: "a"},
		{name: "both hold something, and none received the last commit that was observed", a: 5, b: 8, releases: []Release{confirmed}, want: "b"},
		{name: "a VM did not confirm", a: 5, b: 9, releases: []Release{confirmed}, oneSilent: true},
		{name: "one holds nothing, and a VM does not know what it acknowledged", a: 9, releases: []Release{confirmed, {}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := Evidence{
				Recorded: recorded("a", "b"), Replicas: []Replica{replica("a", true, c.a), replica("b", true, c.b)},
				Releases: c.releases, AllReleased: !c.oneSilent,
			}
			chosen, ok := Choose(e)
			require.Equal(t, c.want != "", ok)
			require.Equal(t, model.InstanceName(c.want), chosen.Instance.Name)
			e.StartsSettled = true
			_, ok = Choose(e)
			require.True(t, ok, "both replicas are those that are recorded")
		})
	}
}
