package model

// Mode is what a run does with the transaction of its connection.
type Mode string

const (
	// ModeSingle runs the statements in a transaction of their own.
	ModeSingle Mode = "Single"
	// ModeBegin opens a transaction.
	ModeBegin Mode = "Begin"
	// ModeContinue runs the statements inside the open transaction.
	ModeContinue Mode = "Continue"
	// ModeCommit commits the open transaction.
	ModeCommit Mode = "Commit"
	// ModeRollback rolls the open transaction back.
	ModeRollback Mode = "Rollback"
)
