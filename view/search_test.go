package view

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

// The bounded search covers every interleaving of a small case in whole ticks. The case has three stewards, one in each
// failure domain, and one change. Through the stewards, one VM confirms the version that precedes the change.
const (
	searchTick       = time.Second
	searchBound      = 2 * searchTick
	searchTerm       = 5 * searchTick
	searchCommitTick = 1
	searchEndTick    = 13
	searchNeverTick  = searchEndTick + 20
)

// searchRule holds the rules that the search checks. The search must detect a broken rule.
type searchRule struct {
	confirm  func(Stewards, model.Version, []Attestation) (Confirmation, bool)
	inEffect func(*Activation, time.Time) bool
	attest   func(*Steward, time.Time, model.Version) Attestation
}

func correctSearchRule() searchRule {
	return searchRule{
		confirm:  ConfirmByStewards,
		inEffect: (*Activation).InEffect,
		attest: func(s *Steward, now time.Time, held model.Version) Attestation {
			return s.Attest(now, held, searchTerm)
		},
	}
}

func tick(n int) time.Time { return time.Unix(0, 0).Add(time.Duration(n) * searchTick) }

func searchStates(t *testing.T) (before, after *State, change Change) {
	t.Helper()
	first := Change{Version: 1}
	require.NoError(t, first.Put(NodeKey("Fleet"), map[string]string{"WriteBound": searchBound.String(), "KeyBound": searchBound.String(), "StewardTerm": (2 * searchTerm).String()}))
	require.NoError(t, first.Put(StewardsKey(), Stewards{Current: []Member{{Boot: "a"}, {Boot: "b"}, {Boot: "c"}}}))
	before, err := Empty().Apply(first)
	require.NoError(t, err)
	change = Change{Version: 2}
	require.NoError(t, change.Put(PlacementKey("G"), Placement{Term: 2}))
	after, err = before.Apply(change)
	require.NoError(t, err)
	return before, after, change
}

// stewardPath holds the ticks at which the store confirmed a steward, the change reached it, and the VM asked it.
type stewardPath struct {
	confirmedAt int
	receivedAt  int
	askedAt     int
}

func stewardPaths() []stewardPath {
	var paths []stewardPath
	for _, confirmed := range []int{0, searchCommitTick} {
		for _, received := range []int{1, 2, 3, 4, 6, searchNeverTick} {
			for _, asked := range []int{0, 1, 2, 3, 4, 5, 6, 8, 9, searchNeverTick} {
				paths = append(paths, stewardPath{confirmedAt: confirmed, receivedAt: received, askedAt: asked})
			}
		}
	}
	return paths
}

// search returns how many cases it examined and the first in which a VM could act on a version after its successor was in effect.
func search(t *testing.T, rule searchRule) (cases int, found *[3]stewardPath) {
	before, after, change := searchStates(t)
	paths := stewardPaths()
	members := before.Stewards.Current
	for i, first := range paths {
		for j, second := range paths[i:] {
			for _, third := range paths[i+j:] {
				cases++
				chosen := [3]stewardPath{first, second, third}
				activation := NewActivation(ActivationConfig{Before: before, After: after, Change: change, CommittedBy: tick(searchCommitTick)})
				activation.stewardTerm = withMargin(searchTerm)
				var answers []Attestation
				for k, path := range chosen {
					if path.receivedAt < searchNeverTick {
						activation.Acknowledge(tick(path.receivedAt), members[k].Boot)
					}
					if path.askedAt < searchNeverTick {
						answers = append(answers, attestAt(rule, members[k].Boot, path))
					}
				}
				if actsOnReplacedVersion(rule, before, activation, answers) {
					return cases, &chosen
				}
			}
		}
	}
	return cases, nil
}

func attestAt(rule searchRule, boot model.BootID, path stewardPath) Attestation {
	steward := NewSteward(boot)
	steward.Confirm(tick(path.confirmedAt))
	held := model.Version(1)
	if path.askedAt >= path.receivedAt {
		held = 2
	}
	answer := rule.attest(steward, tick(path.askedAt), held)
	answer.SentAt = tick(path.askedAt)
	return answer
}

// actsOnReplacedVersion reports whether the VM may act on version 1 at an instant at which version 2 is in effect.
func actsOnReplacedVersion(rule searchRule, state *State, activation *Activation, answers []Attestation) bool {
	confirmation, ok := rule.confirm(state.Stewards, 1, answers)
	if !ok {
		return false
	}
	var fresh Freshness
	fresh.Advance(1)
	fresh.Confirm(confirmation)
	for now := range searchEndTick {
		if fresh.ConfirmedWithin(tick(now), searchBound) && !tick(now).Before(confirmation.At) && rule.inEffect(activation, tick(now)) {
			return true
		}
	}
	return false
}

func TestSearchFindsNoCounterExample(t *testing.T) {
	cases, found := search(t, correctSearchRule())
	require.Nil(t, found)
	require.Greater(t, cases, 100_000)
	t.Logf("%d interleavings of three stewards, one change and one VM: no counter-example", cases)
}

func TestSearchFindsBrokenRules(t *testing.T) {
	broken := map[string]func(*searchRule){
		"a change is in effect without waiting for the bound": func(r *searchRule) {
			r.inEffect = func(a *Activation, now time.Time) bool { return !now.Before(a.InEffectAt().Add(-a.bound)) }
		},
		"one steward is enough to confirm": func(r *searchRule) {
			r.confirm = func(s Stewards, held model.Version, answers []Attestation) (Confirmation, bool) {
				for _, answer := range answers {
					if answer.Serving && answer.Version <= held {
						return Confirmation{Version: held, At: answer.SentAt}, true
					}
				}
				return Confirmation{}, false
			}
		},
		"the newest answer gives the instant": func(r *searchRule) {
			r.confirm = func(s Stewards, held model.Version, answers []Attestation) (Confirmation, bool) {
				confirmation, ok := ConfirmByStewards(s, held, answers)
				for _, answer := range answers {
					if answer.SentAt.After(confirmation.At) {
						confirmation.At = answer.SentAt
					}
				}
				return confirmation, ok
			}
		},
		"a steward with a newer version still confirms": func(r *searchRule) {
			r.attest = func(s *Steward, now time.Time, _ model.Version) Attestation { return s.Attest(now, 1, searchTerm) }
		},
		"a steward's term never ends": func(r *searchRule) {
			r.attest = func(s *Steward, now time.Time, held model.Version) Attestation {
				return s.Attest(now, held, time.Hour)
			}
		},
	}
	for name, breakRule := range broken {
		t.Run(name, func(t *testing.T) {
			rule := correctSearchRule()
			breakRule(&rule)
			_, found := search(t, rule)
			require.NotNil(t, found, "the search must find the broken rule")
		})
	}
}
