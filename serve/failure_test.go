package serve

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

// TestInstanceThatRefusesAValueOrAnswersTwiceDoesNotFail guards against an instance that is left alone because of one caller's value or of one answer.
func TestInstanceThatRefusesAValueOrAnswersTwiceDoesNotFail(t *testing.T) {
	refused := &model.RefusedError{Fault: model.FaultFailed, Detail: "value too long"}
	require.False(t, showsFailure(errors.Mark(refused, model.ErrNotSent)))
	require.False(t, showsFailure(errors.Mark(errors.Wrap(model.ErrUnmatched, "Ambiguous"), model.ErrNoAnswer)))
	require.True(t, showsFailure(errors.Mark(errors.New("reset"), model.ErrNoAnswer)))
}

func TestStatementIsAbortedIfTheInstanceRefusesItsValues(t *testing.T) {
	c, _ := newSessionWithoutLease(&countingLimiter{}, 0)
	refused := &model.RefusedError{Fault: model.FaultFailed, Detail: "value too long"}
	reply, _ := c.refuseNotSent(operation{}, target{}, errors.Mark(refused, model.ErrNotSent))
	require.Equal(t, model.FaultAborted, reply.Fault, "it would be refused again")
	refused.Fault = model.FaultTooMany
	reply, _ = c.refuseNotSent(operation{}, target{}, errors.Mark(refused, model.ErrNotSent))
	require.Equal(t, model.FaultBusy, reply.Fault)
}
