package elect

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

// TestConfirmPrimary guards against a primary that is recorded although another one may lead or be about to, after the store forgot a part of what it had.
func TestConfirmPrimary(t *testing.T) {
	leads := func(name model.InstanceName, term model.Term) Standing {
		return Standing{Instance: name, Answered: true, State: model.InstanceState{Role: model.RolePrimary, Term: term, Held: term}}
	}
	follows := func(name model.InstanceName, term, held model.Term) Standing {
		return Standing{Instance: name, Answered: true, State: model.InstanceState{Role: model.RoleReplica, Term: term, Held: held}}
	}
	silent := Standing{Instance: "c"}
	a1, b2 := RecordedPrimary{"a", 1}, RecordedPrimary{"b", 2}
	for name, c := range map[string]struct {
		group RestoredGroup
		// now is what is confirmed at once, and later what is once no order can be under way; replace is set if that one must be replaced then.
		now, later RecordedPrimary
		replace    bool
	}{
		"it stayed":                               {RestoredGroup{Stored: a1, Standings: []Standing{leads("a", 1), follows("b", 1, 0)}}, a1, a1, false},
		"its promotion was forgotten":             {RestoredGroup{Stored: a1, Standings: []Standing{follows("a", 2, 0), leads("b", 2)}}, b2, b2, false},
		"its record was forgotten":                {RestoredGroup{Known: b2, Standings: []Standing{follows("a", 2, 0), leads("b", 2)}}, b2, b2, false},
		"the former one has not heard of it":      {RestoredGroup{Stored: a1, Standings: []Standing{leads("a", 1), leads("b", 2)}}, b2, b2, false},
		"it does not answer, the former one does": {RestoredGroup{Stored: a1, Known: b2, Standings: []Standing{leads("a", 1), silent}}, RecordedPrimary{}, b2, false},
		"a replica follows a later one":           {RestoredGroup{Stored: a1, Standings: []Standing{leads("a", 1), follows("b", 2, 0), silent}}, RecordedPrimary{}, RecordedPrimary{}, false},
		"one may be about to be promoted":         {RestoredGroup{Stored: a1, Standings: []Standing{leads("a", 1), follows("b", 1, 2)}}, RecordedPrimary{}, a1, false},
		"one does not answer":                     {RestoredGroup{Stored: a1, Standings: []Standing{leads("a", 1), silent}}, RecordedPrimary{}, a1, false},
		"none leads":                              {RestoredGroup{Stored: a1, Standings: []Standing{follows("a", 1, 0), follows("b", 1, 2)}}, RecordedPrimary{}, a1, true},
		"none leads, and a later one did":         {RestoredGroup{Stored: a1, Standings: []Standing{follows("a", 2, 0)}}, RecordedPrimary{}, RecordedPrimary{}, false},
		"two do not answer":                       {RestoredGroup{Stored: a1, Standings: []Standing{leads("a", 1), silent, {Instance: "d"}}}, RecordedPrimary{}, RecordedPrimary{}, false},
		"two are absent":                          {RestoredGroup{Stored: a1, Standings: []Standing{leads("a", 1), follows("b", 1, 0)}, Absent: 2}, RecordedPrimary{}, RecordedPrimary{}, false},
		"one is absent":                           {RestoredGroup{Stored: a1, Standings: []Standing{leads("a", 1), follows("b", 1, 0)}, Absent: 1}, RecordedPrimary{}, a1, false},
		"nothing is known":                        {RestoredGroup{}, RecordedPrimary{}, RecordedPrimary{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := c.group
			confirmed, ok := ConfirmPrimary(g)
			require.False(t, ok, "the instances may not have registered again: %v", confirmed)
			g.Registered = true
			confirmed, ok = ConfirmPrimary(g)
			require.Equal(t, c.now != RecordedPrimary{}, ok)
			if ok {
				require.Equal(t, ConfirmedPrimary{RecordedPrimary: c.now}, confirmed)
			}
			g.OrdersEnded = true
			confirmed, ok = ConfirmPrimary(g)
			require.Equal(t, c.later != RecordedPrimary{}, ok)
			if ok {
				require.Equal(t, ConfirmedPrimary{RecordedPrimary: c.later, Replace: c.replace}, confirmed)
			}
		})
	}
}

// TestFirstClaimInAnEraAwaitsForgottenOrders guards against an order that comes under a lower token than one of the present era: the store may have forgotten it,
// and also who holds the lease.
func TestFirstClaimInAnEraAwaitsForgottenOrders(t *testing.T) {
	for name, c := range map[string]LeaseClaim{
		"free":      {Released: true},
		"held here": {HeldHere: true},
	} {
		t.Run(name, func(t *testing.T) {
			require.True(t, MayClaim(now, c))
			c.FirstInEra, c.EraSince = true, ago(orderSendTime+OrderLifetime-time.Millisecond)
			require.False(t, MayClaim(now, c))
			require.True(t, MayClaim(now.Add(time.Millisecond), c))
		})
	}
}
