package elect

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

func TestRecordedReplicasFollowRegistrations(t *testing.T) {
	a, b, c := replica("a", true, 0).Instance, replica("b", true, 0).Instance, replica("c", true, 0).Instance
	again := restarted("b", 0).Instance
	for name, test := range map[string]struct {
		recorded   []model.Incarnation
		registered []model.Instance
		complete   bool
		added      []model.Incarnation
		dropped    []model.Incarnation
	}{
		"the same":          {recorded("a", "b"), []model.Instance{a, b}, true, recorded("a", "b"), recorded("a", "b")},
		"none":              {recorded(), nil, true, recorded(), recorded()},
		"one joined":        {recorded("a", "b"), []model.Instance{a, b, c}, true, recorded("a", "b", "c"), recorded("a", "b")},
		"one left":          {recorded("a", "b"), []model.Instance{a}, false, recorded("a", "b"), recorded("a")},
		"one started again": {recorded("a", "b"), []model.Instance{a, again}, false, append(recorded("a", "b"), again.Incarnation()), recorded("a")},
		"unknown":           {nil, []model.Instance{a, b}, false, recorded("a", "b"), recorded("a", "b")},
		"unknown, none":     {nil, nil, false, nil, recorded()},
	} {
		t.Run(name, func(t *testing.T) {
			changes := CompareReplicas(test.recorded, test.registered)
			require.Equal(t, test.complete, changes.Complete())
			require.ElementsMatch(t, test.added, changes.Add(test.recorded))
			require.ElementsMatch(t, test.dropped, changes.Drop(test.recorded))
			require.NotNil(t, changes.Drop(test.recorded), "nil would mean that they are unknown")
		})
	}
}
