package model

import "time"

type (
	// Run is one request on a connection.
	Run struct {
		Term       Term
		Mode       Mode
		RequestID  RequestID
		Statements []Statement
	}
	// Result is the answer of an instance. Age is how far the instance may lag behind its primary; Repeated is set if the result was recorded
	// by an earlier attempt.
	Result struct {
		Rows     []string
		Mark     Mark
		Age      time.Duration
		Repeated bool
	}
	// Recorded is what an instance has recorded of a request.
	Recorded struct {
		Found bool
		// Term is the current term of the instance.
		Term Term
		Mark Mark
		Rows []string
	}
	// UpstreamStatus is the state of an instance.
	UpstreamStatus struct {
		Term    Term
		LogTerm Term
		Held    Position
		Applied Position
		Age     time.Duration
		Primary bool
		// Fenced instances wait for an order in their term and do not replicate.
		Fenced      bool
		TermStart   Position
		Connections int
		Running     int
	}
)

// Mark returns the last log position that the instance has received.
func (s UpstreamStatus) Mark() Mark {
	return Mark{Term: s.LogTerm, Position: s.Held}
}
