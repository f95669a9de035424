package model

import (
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrNoAnswer reports a connection that broke or did not answer in time after statements were sent; each of them may have run.
	ErrNoAnswer = errors.New("the connection ended before the answer")
	// ErrNotSent reports that the instance received nothing of what was to be sent.
	ErrNotSent = errors.New("nothing was sent to the instance")
	// ErrUnmatched reports an answer that may be an earlier one of its connection once more, or cannot be the one to its statement.
	ErrUnmatched = errors.New("the answer is not certainly that of the statement")
	// ErrRepeatedGreeting reports that an instance accepted the connection once more, which is no answer.
	ErrRepeatedGreeting = errors.New("the instance accepted the connection once more")
	// ErrBadMessage reports a whole message of a caller that is none of the protocol; the following one can be read.
	ErrBadMessage = errors.New("the message is not valid")
	// ErrInterrupted reports that the wait for a caller's statement was interrupted.
	ErrInterrupted = errors.New("the wait for a statement was interrupted")
)

// TxState is the transaction state of a session.
type TxState string

const (
	// TxNone means that no transaction is open.
	TxNone TxState = "None"
	// TxOpen means that a transaction is open.
	TxOpen TxState = "Open"
	// TxFailed means that the open transaction failed and can only be ended.
	TxFailed TxState = "Failed"
)

type (
	// Query is one statement for an instance.
	Query struct {
		// ID is the caller's request id of the statement; it is empty for statements of the proxy itself.
		ID RequestID
		// Kind tells which answers a success can have. With an empty kind, it has no row, need not have a proof and keeps the state of the transaction.
		Kind CommandKind
		Text string
		// Since is the log position that the instance must have received; the zero position requires nothing.
		Since Mark
		// Commits is set if the statement may have a lasting effect, so that a refusal of it is a promise.
		Commits bool
		// Work is set if the statement reads or writes, so that its latency shows how well the instance performs.
		Work bool
		// Room, if set, reserves memory for an answer of which size bytes have arrived, and waits for it until a time at most. After an error the answer
		// is not read. Room is not sent to other VMs.
		Room func(until time.Time, size int) error
	}

	// Reply is the complete answer to one statement.
	Reply struct {
		Rows []string
		// Proof is the message authentication code of the instance; it is empty if the instance sent none.
		Proof  string
		Fault  Fault
		Detail string
		// RetryAfter is the time after which a refused caller may try again; it is 0 if unknown.
		RetryAfter time.Duration
		State      TxState
		// Mark is the end of the instance's log after the statement; it is zero if unknown.
		Mark Mark
		// Took is how long the instance took, as measured by the VM with the connection; it is 0 if unknown.
		Took time.Duration
	}

	// InstanceConn is one connection to an instance, used by one goroutine at a time.
	InstanceConn interface {
		// Exchange sends the queries in one write and returns their answers in order. After an error, each query without an answer may have run.
		Exchange(deadline time.Time, queries ...Query) ([]Reply, error)
		// Receive reads one more answer, in place of one that turned out to be a repetition. It may return ErrRepeatedGreeting, after which it can be
		// called again.
		Receive(deadline time.Time) (Reply, error)
		// Idle reports whether the connection is open and nothing waits to be read.
		Idle() bool
		// Status asks the instance for its state.
		Status(deadline time.Time) (InstanceState, error)
		// Pause stops a replica from receiving log entries of terms below the given one.
		Pause(deadline time.Time, term Term) (InstanceState, error)
		// Resume ends a pause.
		Resume(deadline time.Time) (InstanceState, error)
		// Demote turns a primary of a term below the given one into a replica.
		Demote(deadline time.Time, term Term) (InstanceState, error)
		// Close closes the connection, which rolls an open transaction back.
		Close()
	}

	// Dialer opens connections to instances. The team of a connection stays the same for its lifetime.
	Dialer interface {
		// Dial returns a *RefusedError if the instance refuses the connection.
		Dial(deadline time.Time, instance Instance, team TeamName) (InstanceConn, error)
	}

	// RefusedError reports that an instance refused a connection, a status request or another administrative statement.
	RefusedError struct {
		Fault  Fault
		Detail string
	}

	// CallerConn is the connection of a caller's session.
	CallerConn interface {
		// Hello reads the first message.
		Hello(deadline time.Time) (Hello, error)
		// Next reads the next statement; a zero deadline means no limit.
		Next(deadline time.Time) (Command, error)
		// Arrived reports whether anything that came after the last message waits to be read.
		Arrived() bool
		// Interrupt makes a waiting or the following Next return ErrInterrupted at once.
		Interrupt()
		// Accept accepts the session.
		Accept() error
		// Answer sends the complete answer to a statement.
		Answer(reply Reply) error
		// Reject sends a fault that ends the session.
		Reject(fault Fault, detail string) error
		// Close closes the connection.
		Close()
	}
)

// NextAnswer receives until something comes that is no repeated greeting, and returns that.
func NextAnswer(receive func() (Reply, error)) (Reply, error) {
	for {
		reply, err := receive()
		if !errors.Is(err, ErrRepeatedGreeting) {
			return reply, err
		}
	}
}

// Refused returns the refusal of an instance that is in the chain of err, and whether there is one.
func Refused(err error) (*RefusedError, bool) {
	var refused *RefusedError
	ok := errors.As(err, &refused)
	return refused, ok
}

// Error returns the fault and the detail.
func (e *RefusedError) Error() string { return string(e.Fault) + ": " + e.Detail }
