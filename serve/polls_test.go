package serve

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRequiredPolls(t *testing.T) {
	const fresh, old, older = 200 * time.Millisecond, 1200 * time.Millisecond, 1800 * time.Millisecond
	for name, c := range map[string]struct {
		state groupState
		want  polls
	}{
		"nothing is missing":                          {groupState{leased: true, hasRecentSample: true, evidenceAge: fresh}, polls{}},
		"sample too old":                              {groupState{leased: true, evidenceAge: fresh}, polls{primary: true}},
		"primary fails":                               {groupState{leased: true, hasRecentSample: true, primaryFailing: true, evidenceAge: fresh}, polls{primary: true}},
		"reader, primary fails":                       {groupState{reader: true, leased: true, primaryFailing: true, evidenceAge: fresh}, polls{primary: true, replicas: true}},
		"reader, primary is being replaced":           {groupState{reader: true, replacing: true, evidenceAge: older}, polls{replicas: true}},
		"other VM, primary is being replaced":         {groupState{replacing: true, evidenceAge: older}, polls{}},
		"reader, store unreachable":                   {groupState{reader: true, leased: true, hasRecentSample: true, evidenceAge: old}, polls{termCheck: true}},
		"other VM, store unreachable":                 {groupState{leased: true, hasRecentSample: true, evidenceAge: old}, polls{}},
		"other VM, no store and no term check":        {groupState{leased: true, hasRecentSample: true, evidenceAge: older}, polls{termCheck: true}},
		"reader, lease expired, sample too old":       {groupState{reader: true, evidenceAge: older}, polls{termCheck: true, replicas: true}},
		"other VM, lease expired, sample too old":     {groupState{evidenceAge: older}, polls{termCheck: true}},
		"reader, lease expired, sample recent enough": {groupState{reader: true, hasRecentSample: true, evidenceAge: older}, polls{termCheck: true}},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, requiredPolls(c.state)) })
	}
}
