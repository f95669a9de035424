package queue

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/tree"
)

var (
	start = time.Unix(0, 0)
	// idle is a capacity that makes nobody wait.
	idle = Capacity{}
)

func entryOf(team model.TeamName, class tree.Class, weight float64) Entry[model.TeamName] {
	return Entry[model.TeamName]{Team: team, Class: class, Weight: weight, Deadline: start.Add(time.Hour), MaxTeamWaiting: 1 << 20, Value: team}
}

// serve pushes the offered number of requests of every team and pops one request in each round. It returns the number popped of each team.
func serve(t *testing.T, rounds int, offered map[model.TeamName]int, weights map[model.TeamName]float64, class func(model.TeamName) tree.Class) map[model.TeamName]int {
	q := New[model.TeamName]()
	served := map[model.TeamName]int{}
	for range rounds {
		for team, count := range offered {
			for range count {
				require.NoError(t, q.Push(start, idle, entryOf(team, class(team), weights[team])))
			}
		}
		entry, ok := q.Pop()
		require.True(t, ok)
		served[entry.Value]++
	}
	return served
}

func normal(model.TeamName) tree.Class { return tree.ClassNormal }

func TestTeamsShareByWeightWhateverTheyOffer(t *testing.T) {
	weights := map[model.TeamName]float64{"A": 1, "B": 1, "C": 2}
	served := serve(t, 4000, map[model.TeamName]int{"A": 5, "B": 1, "C": 1}, weights, normal)
	require.InDelta(t, 1000, served["A"], 5)
	require.InDelta(t, 1000, served["B"], 5)
	require.InDelta(t, 2000, served["C"], 5)
}

func TestReservationsGoFirstAndBrowsingIsNotStarved(t *testing.T) {
	weights := map[model.TeamName]float64{"Reserve": 1, "Browse": 1}
	class := func(team model.TeamName) tree.Class {
		if team == "Browse" {
			return tree.ClassBrowsing
		}
		return tree.ClassReservation
	}
	served := serve(t, 6500, map[model.TeamName]int{"Reserve": 1, "Browse": 3}, weights, class)
	require.InDelta(t, 100, served["Browse"], 5)
	require.InDelta(t, 6400, served["Reserve"], 5)
}

func TestIdleTeamAccumulatesNoShare(t *testing.T) {
	q := New[model.TeamName]()
	for range 100 {
		require.NoError(t, q.Push(start, idle, entryOf("A", tree.ClassNormal, 1)))
		q.Pop()
	}
	for range 20 {
		require.NoError(t, q.Push(start, idle, entryOf("A", tree.ClassNormal, 1)))
		require.NoError(t, q.Push(start, idle, entryOf("B", tree.ClassNormal, 1)))
	}
	served := map[model.TeamName]int{}
	for range 20 {
		entry, _ := q.Pop()
		served[entry.Value]++
	}
	require.InDelta(t, 10, served["B"], 1, "a team that starts later gets its share and no more")
}

func TestPushRefusalsStateTheirReason(t *testing.T) {
	q := New[model.TeamName]()
	full := entryOf("A", tree.ClassNormal, 1)
	full.MaxTeamWaiting = 1
	require.NoError(t, q.Push(start, idle, full))
	var refusal *model.Refusal
	require.ErrorAs(t, q.Push(start, idle, full), &refusal)
	require.Equal(t, model.ReasonOverload, refusal.Reason)
	require.Equal(t, model.NotRun, refusal.Outcome)
	require.Positive(t, refusal.RetryAfter)
	late := entryOf("B", tree.ClassNormal, 1)
	late.Deadline = start
	require.ErrorAs(t, q.Push(start, idle, late), &refusal)
	require.Equal(t, model.ReasonDeadline, refusal.Reason)
	require.Len(t, q.Refuse(start.Add(2*time.Hour), idle), 1)
	require.Zero(t, q.Len())
}

// TestQueueLosesNoEntry compares the queue with a plain set over random operations.
func TestQueueLosesNoEntry(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	classes := []tree.Class{tree.ClassReservation, tree.ClassNormal, tree.ClassBrowsing}
	q := New[int]()
	waiting := map[int]bool{}
	for i := range 50_000 {
		if random.IntN(2) == 0 {
			entry := Entry[int]{
				Team: model.TeamName(rune('A' + random.IntN(6))), Class: classes[random.IntN(3)], Weight: 1 + random.Float64(),
				Deadline: start.Add(time.Duration(i+random.IntN(2000)) * time.Millisecond), MaxTeamWaiting: 1000, Value: i,
			}
			if q.Push(start.Add(time.Duration(i)*time.Millisecond), idle, entry) == nil {
				waiting[i] = true
			}
			continue
		}
		for _, refused := range q.Refuse(start.Add(time.Duration(i)*time.Millisecond), idle) {
			require.True(t, waiting[refused.Entry.Value])
			delete(waiting, refused.Entry.Value)
		}
		if entry, ok := q.Pop(); ok {
			require.True(t, waiting[entry.Value], "an entry comes out once")
			delete(waiting, entry.Value)
		}
		require.Equal(t, len(waiting), q.Len())
	}
}

func TestConcurrencyLimitFallsWhenTheInstanceSlowsDown(t *testing.T) {
	c := NewConcurrencyLimit(8)
	for range 100 {
		c.Observe(2 * time.Millisecond)
	}
	require.Equal(t, 11, c.Limit())
	for range 200 {
		c.Observe(40 * time.Millisecond)
	}
	require.Less(t, c.Limit(), 4)
	for range 400 {
		c.Observe(2 * time.Millisecond)
	}
	require.Equal(t, 11, c.Limit())
}

// TestExpectedWaitCountsEveryRequestThatGoesFirst guards against a request that waits behind others that were not counted: those of other
// classes, and its own work.
func TestExpectedWaitCountsEveryRequestThatGoesFirst(t *testing.T) {
	const service = 100 * time.Millisecond
	for _, c := range []struct {
		name      string
		own       tree.Class
		others    tree.Class
		count     int
		free      int
		timeout   time.Duration
		wait      bool
		leastWait time.Duration
	}{
		{"free slot", tree.ClassNormal, tree.ClassNormal, 0, 1, 250 * time.Millisecond, true, 0},
		{"no time for the work", tree.ClassNormal, tree.ClassNormal, 0, 1, 150 * time.Millisecond, false, 0},
		{"next at a busy slot", tree.ClassNormal, tree.ClassNormal, 0, 0, 350 * time.Millisecond, true, 0},
		{"eight of the class that have no more time", tree.ClassNormal, tree.ClassNormal, 8, 0, 1050 * time.Millisecond, false, 900 * time.Millisecond},
		{"ten of a higher class before it", tree.ClassBrowsing, tree.ClassReservation, 10, 0, time.Second, false, time.Second},
		{"ten of a lower class do not go first", tree.ClassReservation, tree.ClassBrowsing, 10, 0, 400 * time.Millisecond, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := New[model.TeamName]()
			capacity := Capacity{Service: service, Work: service, Slots: 1, Free: c.free}
			entry := entryOf("A", c.own, 1)
			entry.Deadline = start.Add(c.timeout)
			for range c.count {
				other := entryOf("A", c.others, 1)
				if c.others == c.own {
					other.Deadline = entry.Deadline
				}
				require.NoError(t, q.Push(start, capacity, other))
			}
			err := q.Push(start, capacity, entry)
			if c.wait {
				require.NoError(t, err)
				return
			}
			var refusal *model.Refusal
			require.ErrorAs(t, err, &refusal)
			require.GreaterOrEqual(t, refusal.RetryAfter, c.leastWait)
		})
	}
}

// TestWaitingRequestIsRefusedWhenOthersGoFirst guards against a decision that is made on arrival only.
func TestWaitingRequestIsRefusedWhenOthersGoFirst(t *testing.T) {
	q := New[model.TeamName]()
	capacity := Capacity{Service: 100 * time.Millisecond, Work: 100 * time.Millisecond, Slots: 1}
	browsing := entryOf("A", tree.ClassBrowsing, 1)
	browsing.Deadline = start.Add(time.Second)
	require.NoError(t, q.Push(start, capacity, browsing))
	require.Empty(t, q.Refuse(start, capacity))
	for range 10 {
		require.NoError(t, q.Push(start, capacity, entryOf("B", tree.ClassReservation, 1)))
	}
	refused := q.Refuse(start, capacity)
	require.Len(t, refused, 1)
	require.Equal(t, browsing.Team, refused[0].Entry.Team)
	require.GreaterOrEqual(t, refused[0].RetryAfter, time.Second)
	require.Equal(t, 10, q.Len())
}
