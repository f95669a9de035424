package serve

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestQuestionsAboutAGroup(t *testing.T) {
	const proven, old, older = 200 * time.Millisecond, 1200 * time.Millisecond, 1800 * time.Millisecond
	for name, c := range map[string]struct {
		state state
		want  needed
	}{
		"nothing is lacking":                         {state{leased: true, young: true, proofAge: proven}, needed{}},
		"old sample":                                 {state{leased: true, proofAge: proven}, needed{primary: true}},
		"primary fails":                              {state{leased: true, young: true, failing: true, proofAge: proven}, needed{primary: true}},
		"reader, primary fails":                      {state{reader: true, leased: true, failing: true, proofAge: proven}, needed{primary: true, replicas: true}},
		"reader, primary is being replaced":          {state{reader: true, replacing: true, proofAge: older}, needed{replicas: true}},
		"served VM, primary is being replaced":       {state{replacing: true, proofAge: older}, needed{}},
		"reader, store away":                         {state{reader: true, leased: true, young: true, proofAge: old}, needed{witness: true}},
		"served VM, store away":                      {state{leased: true, young: true, proofAge: old}, needed{}},
		"served VM, store away and nothing from it":  {state{leased: true, young: true, proofAge: older}, needed{witness: true}},
		"reader, lease is over, no sample is young":  {state{reader: true, proofAge: older}, needed{witness: true, replicas: true}},
		"served VM, lease is over, sample too old":   {state{proofAge: older}, needed{witness: true}},
		"reader, lease is over, samples still young": {state{reader: true, young: true, proofAge: older}, needed{witness: true}},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, questions(c.state)) })
	}
}
