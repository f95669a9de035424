package conns

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
)

func TestPaceFollowsTheSlotsOfTheInstance(t *testing.T) {
	const service, slots = 30 * time.Millisecond, 3
	now := time.Unix(1000, 0)
	var p pace
	require.True(t, p.allows(now))
	p.full(now, service, slots)
	require.False(t, p.allows(now.Add(service/slots-1)))
	require.True(t, p.allows(now.Add(service/slots)), "a slot is expected")
	for range 5 {
		p.full(now, service, slots)
	}
	require.False(t, p.allows(now.Add(maxPaceTurns*service-1)), "others use the slots")
	require.True(t, p.allows(now.Add(maxPaceTurns*service)))
	p.granted(now)
	require.False(t, p.allows(now), "one statement at a time")
	for range 30 {
		p.served(now)
	}
	require.True(t, p.allows(now.Add(service/slots)), "as fast as slots come free")
	require.False(t, p.allows(now.Add(service/slots-1)))
	p.granted(now.Add(2 * service))
	require.True(t, p.allows(now.Add(2*service)), "fewer statements come than the instance serves")
}

// TestFullInstanceIsNotSentStatementsBeforeASlotIsExpected guards against statements that an instance can only refuse: callers sent theirs again
// every 15 ms, whatever was known of the slots, and were turned away after six attempts.
func TestFullInstanceIsNotSentStatementsBeforeASlotIsExpected(t *testing.T) {
	const callers, slots, work = 40, 3, 10 * time.Millisecond
	var mu sync.Mutex
	running, refused, served := 0, 0, 0
	answer := func(model.Query) (model.Reply, error) {
		mu.Lock()
		if running >= slots {
			refused++
			mu.Unlock()
			return model.Reply{Fault: model.FaultBusy, State: model.TxNone}, nil
		}
		running++
		mu.Unlock()
		time.Sleep(work)
		mu.Lock()
		defer mu.Unlock()
		running--
		served++
		return model.Reply{Proof: fmt.Sprintf("proof %d", served), State: model.TxNone}, nil
	}
	p, d := newPool(20)
	d.answer = answer
	var wait sync.WaitGroup
	start := clock.Now()
	for range callers {
		wait.Go(func() {
			for {
				c, err := p.Get(clock.Now(), Request{Instance: instance, Team: "a", Deadline: start.Add(5 * time.Second)})
				if err != nil {
					t.Errorf("refused: %v", err)
					return
				}
				reply, err := c.Run(time.Time{}, model.Query{Kind: model.CommandRead, Text: "READ item", Work: true})
				p.Put(clock.Now(), c)
				if err == nil && reply.Fault == "" {
					return
				}
			}
		})
	}
	wait.Wait()
	t.Logf("served %d, refused %d in %s", served, refused, clock.Now().Sub(start))
	require.Equal(t, callers, served)
	require.LessOrEqual(t, refused, callers+20, "beyond the first statement on each connection, a slot is expected for each")
	require.Less(t, clock.Now().Sub(start), 4*callers*work/slots, "the slots are in use")
}
