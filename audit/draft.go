package audit

import (
	"time"

	"github.com/crocusshore/crocusshore/jsonc"
	"github.com/crocusshore/crocusshore/policy"
)

type (
	// Draft is a version of the settings as it is written, with its mistakes.
	Draft struct {
		Entry
		Words Words
		// Consistencies are the operators' words for the consistencies.
		Consistencies []string
		Version       int64
		TxIdleTimeout time.Duration
		Routes        []Route
		Groups        []Group
		Teams         []Team
		// Findings are the mistakes because of which the settings cannot be decoded.
		Findings []jsonc.Finding
	}

	// Route is a route. Its Consistency is empty if the word for it is not known.
	Route struct {
		Entry
		policy.Route
		ConsistencyWord string
	}

	// Group is a database group. ColdTime is for how long an instance is cold after its start.
	Group struct {
		Entry
		policy.Group
		ColdTime time.Duration
	}

	// Team is a team with its keys.
	Team struct {
		Entry
		policy.Team
		Keys []Key
	}

	// Key is a key of a team.
	Key struct {
		Place jsonc.Location
		Text  string
		// Unsendable is set if no message can hold the key.
		Unsendable bool
	}
)

// usable reports whether VMs use the route.
func (r Route) usable() bool { return r.Consistency != "" && !r.isUnsendable(TermDatabase) }

// usable reports whether VMs use the group.
func (g Group) usable() bool { return !g.isUnsendable(TermName) }

// usable reports whether VMs use the team.
func (t Team) usable() bool { return !t.isUnsendable(TermName) }

// usableKeys returns the keys that callers can send.
func (t Team) usableKeys() []Key {
	var keys []Key
	for _, key := range t.Keys {
		if !key.Unsendable {
			keys = append(keys, key)
		}
	}
	return keys
}
