package elect

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

var now = time.Unix(1000, 0)

func ago(d time.Duration) time.Time { return now.Add(-d) }

func mark(term, position int) model.Mark {
	return model.Mark{Term: model.Term(term), Position: model.Position(position)}
}

func replica(name string, paused bool, position int) Replica {
	return Replica{Instance: model.Instance{Name: model.InstanceName(name)}, Paused: paused, Received: mark(1, position)}
}

// restarted returns a paused replica that started again after it was recorded.
func restarted(name string, position int) Replica {
	r := replica(name, true, position)
	r.Instance.StartedAt = now
	return r
}

func TestAssess(t *testing.T) {
	healthy := PrimaryState{Recorded: true, Registered: true}
	with := func(change func(*PrimaryState)) PrimaryState {
		s := healthy
		change(&s)
		return s
	}
	for _, c := range []struct {
		name  string
		state PrimaryState
		want  Cause
	}{
		{"healthy", healthy, CauseNone},
		{"no row yet", PrimaryState{Registered: true}, CauseRecord},
		{"unconfirmed", with(func(s *PrimaryState) { s.Unconfirmed, s.Leaving, s.ConfirmDue = true, true, true }), CauseConfirm},
		{"unconfirmed, and others confirm it first", with(func(s *PrimaryState) { s.Unconfirmed, s.Leaving = true, true }), CauseNone},
		{"leaving", with(func(s *PrimaryState) { s.Leaving = true }), CausePlanned},
		{"registration gone", PrimaryState{Recorded: true, AbsenceSettled: true}, CauseGone},
		{"not registered again yet after an outage of the store", PrimaryState{Recorded: true}, CauseNone},
		{"one failure", with(func(s *PrimaryState) { s.Failures, s.FailingSince = 1, ago(time.Second) }), CauseNone},
		{"failing for a moment", with(func(s *PrimaryState) { s.Failures, s.FailingSince = 5, ago(100*time.Millisecond) }), CauseNone},
		{"failing", with(func(s *PrimaryState) { s.Failures, s.FailingSince = 2, ago(400*time.Millisecond) }), CauseSuspected},
		{"commits stuck", with(func(s *PrimaryState) { s.StuckSince = ago(time.Second) }), CauseSuspected},
		{"recorded replicas outdated", with(func(s *PrimaryState) { s.ReplicasOutdated = true }), CauseReplicas},
		{"failing, with outdated replicas", with(func(s *PrimaryState) {
			s.ReplicasOutdated, s.Failures, s.FailingSince = true, 2, ago(400*time.Millisecond)
		}), CauseSuspected},
		{"announced by another VM", with(func(s *PrimaryState) { s.Announced, s.AnnouncedSince, s.Leaving = true, ago(time.Second), true }), CauseNone},
		{"announced and not continued", with(func(s *PrimaryState) { s.Announced, s.AnnouncedSince = true, ago(6*time.Second) }), CauseResume},
		{"announced by a run of our own that ended", with(func(s *PrimaryState) { s.Announced, s.OwnAnnouncement, s.AnnouncedSince = true, true, now }), CauseResume},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, Assess(now, c.state)) })
	}
}

func TestDecide(t *testing.T) {
	reached := Opinion{Reached: true, CommitAge: -1}
	failed := Opinion{CommitAge: -1}
	stuck := Opinion{Reached: true, StuckFor: time.Second, CommitAge: -1}
	committing := Opinion{Reached: true, CommitAge: 50 * time.Millisecond}
	for _, c := range []struct {
		name     string
		opinions []Opinion
		want     Verdict
	}{
		{"only this VM does not reach it", []Opinion{failed, reached, reached}, VerdictKeep},
		{"no VM reaches it", []Opinion{failed, failed, failed}, VerdictUnreachable},
		{"most do not reach it", []Opinion{failed, failed, reached}, VerdictUnreachable},
		{"partitioned from its replicas", []Opinion{stuck, reached, reached}, VerdictStuck},
		{"commits answered elsewhere", []Opinion{stuck, committing, reached}, VerdictKeep},
		{"alone", []Opinion{failed}, VerdictUnreachable},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, Decide(c.opinions)) })
	}
}

// recorded returns replicas that are recorded with the start that replica gives them.
func recorded(names ...string) []model.Incarnation {
	all := make([]model.Incarnation, 0, len(names))
	for _, name := range names {
		all = append(all, model.Incarnation{Name: model.InstanceName(name)})
	}
	return all
}

func TestChooseLosesNoAcknowledgedCommit(t *testing.T) {
	for _, c := range []struct {
		name     string
		evidence Evidence
		want     string
	}{
		{"the furthest of all", Evidence{Recorded: recorded("a", "b"), Replicas: []Replica{replica("a", true, 5), replica("b", true, 7)}}, "b"},
		{"the furthest of the recorded ones and one that joined", Evidence{Recorded: recorded("a"), Replicas: []Replica{replica("a", true, 5), replica("b", true, 7)}}, "b"},
		{"one that joined does not answer", Evidence{Recorded: recorded("a"), Replicas: []Replica{replica("a", true, 5), replica("b", false, 0)}}, ""},
		{"which replicas there were is unknown", Evidence{Replicas: []Replica{replica("a", true, 5), replica("b", true, 7)}}, ""},
		{
			"a replica that no VM remembers has left",
			Evidence{Recorded: recorded("a", "b"), Replicas: []Replica{replica("a", true, 5)}, AllReleased: true, Releases: []Release{{Complete: true}, {Complete: true}}},
			"",
		},
		{
			"a replica started again and holds nothing",
			Evidence{
				Recorded: recorded("a", "b"), Replicas: []Replica{replica("a", true, 5), restarted("b", 0)},
				AllReleased: true, Releases: []Release{{Known: mark(1, 9), Complete: true}},
			},
			"",
		},
		{"one does not answer and no VM observed an acknowledged commit", Evidence{Recorded: recorded("a", "b"), Replicas: []Replica{replica("a", true, 5), replica("b", false, 0)}, AllReleased: true}, ""},
		{
			"one does not answer, the other has what all VMs observed",
			Evidence{Recorded: recorded("a", "b"), Replicas: []Replica{replica("a", true, 5), replica("b", false, 0)}, AllReleased: true, Releases: []Release{{Known: mark(1, 5), Complete: true}, {Complete: true}}},
			"a",
		},
		{
			"one does not answer and a VM started again after it had acknowledged commits",
			Evidence{Recorded: recorded("a", "b"), Replicas: []Replica{replica("a", true, 5), replica("b", false, 0)}, AllReleased: true, Releases: []Release{{Known: mark(1, 5), Complete: true}, {}}},
			"",
		},
		{
			"one does not answer and a VM observed more",
			Evidence{Recorded: recorded("a", "b"), Replicas: []Replica{replica("a", true, 5), replica("b", false, 0)}, AllReleased: true, Releases: []Release{{Known: mark(1, 6), Complete: true}}},
			"",
		},
		{
			"one does not answer and a VM did not confirm",
			Evidence{Recorded: recorded("a", "b"), Replicas: []Replica{replica("a", true, 5), replica("b", false, 0)}, Releases: []Release{{Known: mark(1, 5), Complete: true}}},
			"",
		},
		{
			// A leaving replica in the failure domain of the primary received commits and was removed, while the other replicas
			// were partitioned from both (random run on ladica-split, scale-2, seed 421463716631).
			"a replica was removed recently and the others do not have all that a VM observed",
			Evidence{Recorded: recorded("a", "b", "c"), Replicas: []Replica{replica("a", true, 73), replica("b", true, 73)}, AllReleased: true, Releases: []Release{{Known: mark(1, 90), Complete: true}}},
			"",
		},
		{"a replica was removed recently and a VM did not confirm", Evidence{Recorded: recorded("a", "c"), Replicas: []Replica{replica("a", true, 73)}, Releases: []Release{{Known: mark(1, 73), Complete: true}}}, ""},
		{"a replica was removed recently and nothing is missing", Evidence{Recorded: recorded("a", "c"), Replicas: []Replica{replica("a", true, 73)}, AllReleased: true, Releases: []Release{{Known: mark(1, 73), Complete: true}}}, "a"},
		{"one is gone, another has the whole log of the demoted primary", Evidence{Recorded: recorded("a", "b"), Replicas: []Replica{replica("a", true, 5)}, Final: mark(1, 5)}, "a"},
		{"one is gone, the others lack a part of that log", Evidence{Recorded: recorded("a", "b"), Replicas: []Replica{replica("a", true, 4)}, Final: mark(1, 5)}, ""},
		{
			"the demoted primary led again and committed more",
			Evidence{Recorded: recorded("a", "b"), Replicas: []Replica{replica("a", true, 5)}, Final: mark(1, 5), Releases: []Release{{Known: mark(1, 6)}}},
			"",
		},
		{"none answers", Evidence{Recorded: recorded("a"), Replicas: []Replica{replica("a", false, 0)}}, ""},
		{"none is there", Evidence{Recorded: recorded()}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.evidence.StartsSettled = true
			chosen, ok := Choose(c.evidence)
			require.Equal(t, c.want != "", ok)
			require.Equal(t, model.InstanceName(c.want), chosen.Instance.Name)
		})
	}
}

func TestCaughtUpPrefersAReplicaThatStays(t *testing.T) {
	leaving := replica("a", true, 9)
	leaving.Instance.Leaving = true
	chosen, ok := FindCaughtUp([]Replica{leaving, replica("b", true, 9)}, mark(1, 9))
	require.True(t, ok)
	require.Equal(t, model.InstanceName("b"), chosen.Name)
	_, ok = FindCaughtUp([]Replica{leaving, replica("b", true, 8)}, mark(1, 9))
	require.False(t, ok, "the replica that stays is waited for")
	chosen, ok = FindCaughtUp([]Replica{leaving}, mark(1, 9))
	require.True(t, ok)
	require.Equal(t, model.InstanceName("a"), chosen.Name)
}

// TestCoordinatorLeaseNeverHasTwoUsers checks all instants at which an old holder may still send an order and a new one may claim
// the lease.
func TestCoordinatorLeaseNeverHasTwoUsers(t *testing.T) {
	claimSent := now
	for delivered := time.Duration(0); delivered < time.Second; delivered += 100 * time.Millisecond {
		for after := time.Duration(0); after < 10*time.Second; after += 50 * time.Millisecond {
			instant := claimSent.Add(after)
			unchangedSince := claimSent.Add(delivered)
			if MayClaim(instant, LeaseClaim{UnchangedSince: unchangedSince}) {
				require.False(t, MayUse(instant, claimSent))
			}
			if MayOrder(instant, claimSent) {
				require.False(t, MayClaim(instant.Add(minOrderTime), LeaseClaim{UnchangedSince: unchangedSince}), "an order may be under way for all of minOrderTime")
			}
		}
	}
	require.True(t, MayClaim(now, LeaseClaim{Released: true, UnchangedSince: now}))
	require.True(t, MayClaim(now, LeaseClaim{HeldHere: true, UnchangedSince: now}))
}

// TestLeaseIsNotClaimedWhileAnOrderMayArrive checks all instants at which an order under a lease may be carried out. It guards against an older
// token after a newer one.
func TestLeaseIsNotClaimedWhileAnOrderMayArrive(t *testing.T) {
	recordedAt := now
	for _, ended := range []bool{false, true} {
		for sent := time.Duration(0); recordedAt.Add(sent).Before(SendBy(recordedAt)); sent += 100 * time.Millisecond {
			for age := time.Duration(0); age <= OrderLifetime; age += 100 * time.Millisecond {
				claim := LeaseClaim{OrderPending: true, HolderEnded: ended, UnchangedSince: recordedAt}
				require.False(t, MayClaim(recordedAt.Add(sent+age), claim), "sent after %s, carried out after %s more", sent, age)
			}
		}
	}
	claim := LeaseClaim{OrderPending: true, UnchangedSince: recordedAt}
	require.True(t, MayClaim(recordedAt.Add(pendingOrderDelay), claim))
	const age = 3 * time.Second
	rewritten := LeaseClaim{OrderPending: true, PendingAge: age, UnchangedSince: recordedAt.Add(age)}
	require.False(t, MayClaim(recordedAt.Add(pendingOrderDelay-time.Millisecond), rewritten))
	require.True(t, MayClaim(recordedAt.Add(pendingOrderDelay), rewritten), "the row has changed since, for another order")
	old := LeaseClaim{OrderPending: true, PendingAge: time.Minute, UnchangedSince: now}
	require.False(t, MayClaim(now.Add(takeoverDelay-time.Millisecond), old), "the lease itself has not expired")
}

// TestOrderOfALostProcessLeavesTimeToRecover guards against a group that is without a primary for longer than a failure may take: its holder of the
// lease was lost with an order under way.
func TestOrderOfALostProcessLeavesTimeToRecover(t *testing.T) {
	const recovery, replacement = 12 * time.Second, time.Second
	require.LessOrEqual(t, pendingOrderDelay+replacement, recovery)
}

func TestLeaseOfEndedProcessCanBeClaimedAfterItsLastOrder(t *testing.T) {
	now := time.Unix(100, 0)
	ended := LeaseClaim{HolderEnded: true, UnchangedSince: now}
	require.False(t, MayClaim(now.Add(minOrderTime-time.Millisecond), ended), "its last order may be under way")
	require.True(t, MayClaim(now.Add(minOrderTime), ended))
	require.False(t, MayClaim(now.Add(minOrderTime), LeaseClaim{UnchangedSince: now}))
}

func TestAbandonedReplacementIsResumedWithoutDelay(t *testing.T) {
	now := time.Unix(100, 0)
	state := PrimaryState{Recorded: true, Registered: true, Announced: true, AnnouncedSince: now}
	require.Equal(t, CauseNone, Assess(now, state))
	state.Abandoned = true
	require.Equal(t, CauseResume, Assess(now, state))
}
