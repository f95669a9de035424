package serve

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
)

func TestRefusalsOfInstancesGetARetryTime(t *testing.T) {
	s := &Server{config: Config{RetryDetail: func(reason string, after time.Duration) string { return reason + " after " + after.String() }}}
	c := &callerSession{server: s}
	const tried = 100 * time.Millisecond
	op := operation{startedAt: clock.Now().Add(-tried)}
	for _, fault := range []model.Fault{model.FaultBusy, model.FaultLagging, model.FaultReadOnly} {
		advised := c.advise(op, model.Reply{Fault: fault, Detail: "i-1"})
		require.Equal(t, fault, advised.Fault)
		require.GreaterOrEqual(t, advised.RetryAfter, tried, "as long again as the operation has tried")
		require.Less(t, advised.RetryAfter, 2*tried, "spread over half of that")
		require.Contains(t, advised.Detail, "i-1")
	}
	known := s.refuse(model.FaultBusy, "soon", time.Millisecond)
	require.Equal(t, known, c.advise(op, known), "a refusal keeps its own retry time")
	for _, reply := range []model.Reply{{Proof: "7.1"}, {Fault: model.FaultUncertain}, {Fault: model.FaultAborted}} {
		require.Equal(t, reply, c.advise(op, reply))
	}
}
