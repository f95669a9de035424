package model

import (
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrNoAnswer reports a connection that broke or stayed silent after statements were sent; each of them may have run.
	ErrNoAnswer = errors.New("the connection ended before the answer")
	// ErrNotSent reports that an instance got nothing of what was to be sent.
	ErrNotSent = errors.New("nothing was sent to the instance")
)

// TxState is where a session stands.
type TxState string

const (
	// TxNone is outside any transaction.
	TxNone TxState = "None"
	// TxOpen is inside a transaction.
	TxOpen TxState = "Open"
	// TxFailed is inside a transaction that can only be ended.
	TxFailed TxState = "Failed"
)

type (
	// Query is one statement for an instance.
	Query struct {
		// ID is the caller's id of the statement; it is empty for statements of the proxy itself.
		ID   RequestID
		Text string
		// Since is the position that the instance must have received; the zero mark asks for none.
		Since Mark
		// Work tells that the statement reads or writes, so that its latency says how the instance does.
		Work bool
	}

	// Reply is the whole answer to one statement.
	Reply struct {
		Rows []string
		// Proof is the message authentication code of the instance; it is empty where the instance gave none.
		Proof  string
		Fault  Fault
		Detail string
		// RetryAfter is when a refused caller may come back; it is 0 where nothing is known.
		RetryAfter time.Duration
		State      TxState
		// Mark is the end of the log of the instance after the statement; it is zero where unknown.
		Mark Mark
	}

	// InstanceConn is one connection to an instance, used by one goroutine at a time.
	InstanceConn interface {
		// Exchange sends the queries in one write and returns their answers in order; an error leaves all without an answer in doubt.
		Exchange(deadline time.Time, queries ...Query) ([]Reply, error)
		// Idle tells whether the connection is open and nothing waits to be read.
		Idle() bool
		// Status asks the instance for its state.
		Status(deadline time.Time) (InstanceState, error)
		// Pause stops a replica from receiving terms below the given one.
		Pause(deadline time.Time, term Term) (InstanceState, error)
		// Resume ends a pause.
		Resume(deadline time.Time) (InstanceState, error)
		// Demote makes a primary of a term below the given one a replica.
		Demote(deadline time.Time, term Term) (InstanceState, error)
		// Close closes the connection, which rolls an open transaction back.
		Close()
	}

	// Dialer opens links for a team, which stays the same for the life of the link.
	Dialer interface {
		// Dial returns a *LinkError where the instance refuses.
		Dial(deadline time.Time, instance Instance, team TeamName) (InstanceConn, error)
	}

	// RefusedError is the refusal of a new connection by an instance.
	RefusedError struct {
		Fault  Fault
		Detail string
	}

	// CallerConn is the connection of a caller's session.
	CallerConn interface {
		// Hello reads the first message.
		Hello(deadline time.Time) (Hello, error)
		// Next reads the next statement; a zero deadline waits without limit.
		Next(deadline time.Time) (Command, error)
		// Interrupt makes a waiting or the following Next return at once.
		Interrupt()
		// Accept accepts the session.
		Accept() error
		// Answer sends the whole answer to a statement.
		Answer(reply Reply) error
		// Reject sends a fault that ends the session.
		Reject(fault Fault, detail string) error
		// Close closes the connection.
		Close()
	}
)

// Refused returns the refusal of an instance that an error holds.
func Refused(err error) (*RefusedError, bool) {
	var refused *RefusedError
	ok := errors.As(err, &refused)
	return refused, ok
}

// Error returns the fault and the detail.
func (e *RefusedError) Error() string { return string(e.Fault) + ": " + e.Detail }
