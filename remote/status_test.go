package remote

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/model"
)

// TestUncertainStateOfAnOwnerIsToldAsSuch guards against requests for the state of an idle instance that fail: they are sent again on a new connection only
// if the answer is known to be uncertain.
func TestUncertainStateOfAnOwnerIsToldAsSuch(t *testing.T) {
	_, source := newTestOwner(t, 1)
	status := func(unused bool) error {
		now := clock.Now()
		c, err := source.Get(now, conns.Request{
			Instance: model.Instance{Name: "i-1"}, Team: model.ProxyTeam, AnyTeam: true, New: unused, Deadline: now.Add(time.Second),
		})
		require.NoError(t, err)
		defer func() { source.Put(clock.Now(), c) }()
		_, err = c.Status(inOneSecond())
		return err
	}
	require.NoError(t, status(false))
	for range 5 {
		err := status(false)
		if err != nil {
			requireIs(t, err, model.ErrUnmatched)
			require.NoError(t, status(true))
		}
	}
}
