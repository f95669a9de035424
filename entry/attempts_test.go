package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

// TestRefusalAfterAnUnknownOutcomeStaysUnknown guards against a caller that is told that a write did not run although an earlier attempt may
// have run: the answer to the first attempt was lost, the write was repeated, and the second attempt was refused.
func TestRefusalAfterAnUnknownOutcomeStaysUnknown(t *testing.T) {
	lost := model.Uncertain(model.ReasonReplaced, "the answer was lost")
	refused := model.Refuse(model.ReasonOverload, "too many requests wait")
	notRecorded := model.Refuse(model.ReasonReplaced, "the primary was replaced before the request ran")
	for _, c := range []struct {
		name string
		// settled are the results of the attempts that reached an instance, and last is the error of the last attempt.
		settled []error
		last    error
		want    error
	}{
		{"refused at once", nil, refused, refused},
		{"outcome unknown", []error{lost}, lost, lost},
		{"refused after an unknown outcome", []error{lost}, refused, lost},
		{"found not to have run after an unknown outcome", []error{lost, notRecorded}, notRecorded, notRecorded},
		{"refused after an attempt that did not run", []error{notRecorded}, refused, refused},
	} {
		t.Run(c.name, func(t *testing.T) {
			var a attempts
			for _, err := range c.settled {
				a.recordSettled(err)
			}
			require.Equal(t, c.want, a.refusal(c.last))
		})
	}
}
