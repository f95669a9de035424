package model

// Fault is the reason why a statement has no successful answer; the empty fault means success.
type Fault string

const (
	// FaultBusy means that no instance can take the statement now; nothing ran.
	FaultBusy Fault = "Busy"
	// FaultAborted means that the transaction was rolled back as a whole.
	FaultAborted Fault = "Aborted"
	// FaultLagging means that a replica has not received the position that was asked for; nothing ran.
	FaultLagging Fault = "Lagging"
	// FaultReadOnly means that the instance is not a primary; no change is kept.
	FaultReadOnly Fault = "ReadOnly"
	// FaultMisdirected means that another instance answers at the address; nothing ran.
	FaultMisdirected Fault = "Misdirected"
	// FaultTooMany means that a connection or rate limit is reached; nothing ran.
	FaultTooMany Fault = "TooMany"
	// FaultUncertain means that the statement may have taken effect.
	FaultUncertain Fault = "Uncertain"
	// FaultTimeout means that the deadline of the statement has passed; it may have taken effect.
	FaultTimeout Fault = "Timeout"
	// FaultFailed means that the instance ran the statement and failed.
	FaultFailed Fault = "Failed"
	// FaultNoStatement means that no statement is prepared under the name; nothing ran.
	FaultNoStatement Fault = "NoStatement"
	// FaultNoDatabase means that no route has the name of the database.
	FaultNoDatabase Fault = "NoDatabase"
	// FaultNoAuth means that the key is unknown.
	FaultNoAuth Fault = "NoAuth"
	// FaultBadMessage means that the message is malformed or out of order; nothing ran.
	FaultBadMessage Fault = "BadMessage"
	// FaultOther stands for any fault that an instance reports under a word that this program does not know.
	FaultOther Fault = "Other"
)

// NotRun reports whether the instance that returned the fault certainly did not run the statement.
func (f Fault) NotRun() bool {
	switch f {
	case FaultBusy, FaultLagging, FaultReadOnly, FaultMisdirected, FaultTooMany, FaultNoStatement, FaultBadMessage:
		return true
	default:
		return false
	}
}
