package serve

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestQuestionsAboutAGroup(t *testing.T) {
	const proven, old, older = 200 * time.Millisecond, 1200 * time.Millisecond, 1800 * time.Millisecond
	for name, c := range map[string]struct {
		state groupState
		want  polls
	}{
		"nothing is lacking":                         {groupState{leased: true, hasFreshSample: true, evidenceAge: proven}, polls{}},
		"old sample":                                 {groupState{leased: true, evidenceAge: proven}, polls{primary: true}},
		"primary fails":                              {groupState{leased: true, hasFreshSample: true, primaryFailing: true, evidenceAge: proven}, polls{primary: true}},
		"reader, primary fails":                      {groupState{reader: true, leased: true, primaryFailing: true, evidenceAge: proven}, polls{primary: true, replicas: true}},
		"reader, primary is being replaced":          {groupState{reader: true, replacing: true, evidenceAge: older}, polls{replicas: true}},
		"served VM, primary is being replaced":       {groupState{replacing: true, evidenceAge: older}, polls{}},
		"reader, store away":                         {groupState{reader: true, leased: true, hasFreshSample: true, evidenceAge: old}, polls{termCheck: true}},
		"served VM, store away":                      {groupState{leased: true, hasFreshSample: true, evidenceAge: old}, polls{}},
		"served VM, store away and nothing from it":  {groupState{leased: true, hasFreshSample: true, evidenceAge: older}, polls{termCheck: true}},
		"reader, lease is over, no sample is young":  {groupState{reader: true, evidenceAge: older}, polls{termCheck: true, replicas: true}},
		"served VM, lease is over, sample too old":   {groupState{evidenceAge: older}, polls{termCheck: true}},
		"reader, lease is over, samples still young": {groupState{reader: true, hasFreshSample: true, evidenceAge: older}, polls{termCheck: true}},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, requiredPolls(c.state)) })
	}
}
