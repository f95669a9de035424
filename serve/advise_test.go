package serve

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

func TestRefusalsOfInstancesGetARetryTime(t *testing.T) {
	s := &Server{config: Config{RetryDetail: func(reason string, after time.Duration) string { return reason + " after " + after.String() }}}
	for _, fault := range []model.Fault{model.FaultBusy, model.FaultLagging, model.FaultReadOnly} {
		advised := s.addRetryAdvice(model.Reply{Fault: fault, Detail: "i-1"})
		require.Equal(t, fault, advised.Fault)
		require.Equal(t, defaultRetryAfter, advised.RetryAfter)
		require.Contains(t, advised.Detail, "i-1")
	}
	known := s.refuse(model.FaultBusy, "soon", time.Millisecond)
	require.Equal(t, known, s.addRetryAdvice(known), "a refusal keeps its own retry time")
	for _, reply := range []model.Reply{{Proof: "7.1"}, {Fault: model.FaultUncertain}, {Fault: model.FaultAborted}} {
		require.Equal(t, reply, s.addRetryAdvice(reply))
	}
}
