package audit

// Term is our name for something in the settings that findings mention; the operators may use another word for it.
type Term string

// Kinds of entries, and their fields.
const (
	// TermRoute is a route.
	TermRoute Term = "route"
	// TermGroup is a database group.
	TermGroup Term = "group"
	// TermTeam is a team.
	TermTeam Term = "team"
	// TermKey is a key of a team.
	TermKey Term = "key"
	// TermSettings is what belongs to no other entry.
	TermSettings Term = "settings"

	// TermVersion is the version of the settings.
	TermVersion Term = "Version"
	// TermTxIdle is how long a transaction may be idle.
	TermTxIdle Term = "TxIdle"

	// TermName is the name of an entry.
	TermName Term = "Name"
	// TermHomeRegions is the list of home regions of a route or a team.
	TermHomeRegions Term = "HomeRegions"

	// TermDatabase is the name by which callers choose a route.
	TermDatabase Term = "Database"
	// TermConsistency is the consistency of a route.
	TermConsistency Term = "Consistency"
	// TermRouteGroup is the group of a route.
	TermRouteGroup Term = "Group"
	// TermTimeout bounds a statement on a route.
	TermTimeout Term = "Timeout"
	// TermTargetLatency is the latency objective of a route.
	TermTargetLatency Term = "TargetLatency"
	// TermPriority is the priority of a route.
	TermPriority Term = "Priority"
	// TermMaxAge bounds the staleness on a route.
	TermMaxAge Term = "MaxAge"
	// TermPublic tells whether a route needs no key.
	TermPublic Term = "Public"

	// TermMaxConnections bounds the connections to an instance of a group.
	TermMaxConnections Term = "MaxConnections"
	// TermReplicated tells whether a group acknowledges commits after a replica received them.
	TermReplicated Term = "Replicated"
	// TermColdRate is the rate of statements to a cold instance of a group.
	TermColdRate Term = "ColdRate"
	// TermColdTime is for how long an instance of a group is cold.
	TermColdTime Term = "ColdTime"

	// TermKeys is the list of keys of a team.
	TermKeys Term = "Keys"
	// TermRate is the rate of a team.
	TermRate Term = "Rate"
	// TermBurst is the burst of a team.
	TermBurst Term = "Burst"
)

// Words maps terms to the operators' words. A term without a word is its own word.
type Words map[Term]string

// Word returns the operators' word for a term.
func (w Words) Word(t Term) string {
	if word, known := w[t]; known {
		return word
	}
	return string(t)
}
