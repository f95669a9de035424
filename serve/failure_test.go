package serve

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/model"
)

// TestInstanceThatRefusesAValueOrAnswersTwiceDoesNotFail guards against an instance that is left alone because of one caller's value or of one answer.
func TestInstanceThatRefusesAValueOrAnswersTwiceDoesNotFail(t *testing.T) {
	require.False(t, showsFailure(conns.RefusedValues(model.FaultFailed, "value too long")))
	require.False(t, showsFailure(errors.Mark(errors.Wrap(model.ErrUnmatched, "Ambiguous"), model.ErrNoAnswer)))
	require.True(t, showsFailure(errors.Mark(errors.New("reset"), model.ErrNoAnswer)))
}

// TestOnlyARefusalOfValuesIsFinal guards against statements that are tried until their deadline, and against those that are given up although another
// instance may take them.
func TestOnlyARefusalOfValuesIsFinal(t *testing.T) {
	reply, final := finalRefusal(conns.RefusedValues(model.FaultFailed, "value too long"))
	require.True(t, final)
	require.Equal(t, model.FaultAborted, reply.Fault)
	for name, err := range map[string]error{
		"none":                                nil,
		"values refused for want of a slot":   conns.RefusedValues(model.FaultBusy, ""),
		"connection refused":                  &model.RefusedError{Fault: model.FaultOther, Detail: "STARTING"},
		"connection refused by another owner": errors.Mark(&model.RefusedError{Fault: model.FaultTooMany}, model.ErrNotSent),
	} {
		_, final := finalRefusal(err)
		require.False(t, final, name)
	}
	c, _ := newSessionWithoutLease(&countingLimiter{}, 0)
	reply, _ = c.refuseNotSent(operation{}, target{}, conns.RefusedValues(model.FaultFailed, "value too long"))
	require.Equal(t, model.FaultAborted, reply.Fault)
	reply, _ = c.refuseNotSent(operation{}, target{}, &model.RefusedError{Fault: model.FaultOther})
	require.Equal(t, model.FaultBusy, reply.Fault)
}
