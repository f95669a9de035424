package model

// CommandKind is the kind of a caller's statement.
type CommandKind string

const (
	// CommandBegin opens a transaction.
	CommandBegin CommandKind = "Begin"
	// CommandCommit commits the open transaction.
	CommandCommit CommandKind = "Commit"
	// CommandRollback rolls the open transaction back.
	CommandRollback CommandKind = "Rollback"
	// CommandRead reads an item.
	CommandRead CommandKind = "Read"
	// CommandWrite writes an item.
	CommandWrite CommandKind = "Write"
	// CommandSet sets a value of the session.
	CommandSet CommandKind = "Set"
	// CommandPrepare gives a name to the shape of a statement.
	CommandPrepare CommandKind = "Prepare"
	// CommandExecute runs a prepared statement.
	CommandExecute CommandKind = "Execute"
	// CommandDeallocate drops a prepared statement.
	CommandDeallocate CommandKind = "Deallocate"
	// CommandReset drops all values and prepared statements of a session; only the proxy sends it.
	CommandReset CommandKind = "Reset"
	// CommandStatus asks an instance for its state; only the proxy sends it.
	CommandStatus CommandKind = "Status"
	// CommandQuit ends the session.
	CommandQuit CommandKind = "Quit"
	// CommandInvalid is a message that is not a valid statement.
	CommandInvalid CommandKind = "Invalid"
)

// EndsOperation reports whether a statement of the kind ends an operation if no transaction is open after it. The other kinds prepare the
// session for one, or do nothing.
func (k CommandKind) EndsOperation() bool {
	switch k {
	case CommandCommit, CommandRollback, CommandRead, CommandWrite, CommandExecute:
		return true
	default:
		return false
	}
}

// GivesProof reports whether a success of a statement of the kind carries the proof of its instance.
func (k CommandKind) GivesProof() bool {
	switch k {
	case CommandCommit, CommandRead, CommandWrite, CommandExecute:
		return true
	default:
		return false
	}
}

// StateAfter returns the transaction state after a statement of the kind succeeded in a state.
func (k CommandKind) StateAfter(state TxState) TxState {
	switch k {
	case CommandBegin:
		return TxOpen
	case CommandCommit, CommandRollback:
		return TxNone
	default:
		return state
	}
}

type (
	// Hello is the first message of a caller's session.
	Hello struct {
		Database string
		Key      string
	}

	// Command is one statement of a caller.
	Command struct {
		Kind CommandKind
		ID   RequestID
		// Text is the statement as the caller sent it.
		Text string
		// ReadOnly is set if Begin opens a transaction that only reads.
		ReadOnly bool
		// Name is the name of a session value or of a prepared statement.
		Name string
		// Value is the value that Set gives to Name.
		Value string
		// Prepared is the shape that Prepare names.
		Prepared Prepared
		// Arguments is the text after the name in Execute.
		Arguments string
	}

	// Prepared describes a prepared statement: whether it writes, and its text (Shape).
	Prepared struct {
		Write bool
		Shape string
	}
)
