package remote

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/tree"
)

type (
	// Request is one step on a connection to an instance: a statement or a status request. A stream keeps its connection between requests
	// while a transaction is open.
	Request struct {
		Instance model.InstanceName
		Team     model.TeamName
		Class    tree.Class
		Route    model.RouteName
		// Term is set if the instance is used as the primary of that term.
		Term model.Term
		// Wait bounds the wait for a connection, Limit the step including that wait.
		Wait, Limit time.Duration

		// Status asks for the state of the instance, on a connection of any team; the fields below are unused then.
		Status bool
		// StatusMaxAge is how long ago the instance may have been asked; with 0, as from an older program, it is asked anew.
		StatusMaxAge time.Duration

		Values    map[string]string
		Query     model.Query
		Prepared  *model.Prepared
		Arguments string
		// New asks for a connection that has not been used.
		New bool
		// Sequence numbers the requests of a stream, from 1 on.
		Sequence uint64
	}

	// Answer is the result of a request.
	Answer struct {
		Failure Failure
		// Fault is the refusal of the instance if Failure is FailureRefused or FailureValues; Detail describes any failure.
		Fault  model.Fault
		Detail string
		// RetryAfter is the time after which a connection is expected, if Failure is FailureBusy; it is 0 if unknown.
		RetryAfter time.Duration
		Reply      model.Reply
		State      model.InstanceState
		// Ended is set if the connection to the instance was closed, and with it an open transaction.
		Ended bool
		// To is the sequence number of the request. It has another name there, so that gob takes no request for an answer.
		To uint64
	}

	// Failure is the reason why there is no answer of the instance; it is empty if there is one.
	Failure string
)

const (
	// FailureBusy means that no connection became free in time.
	FailureBusy Failure = "Busy"
	// FailureLease means that the VM has no lease on the primary of the term now; nothing was sent.
	FailureLease Failure = "Lease"
	// FailureLeaving means that the VM is stopping and takes no new work; nothing was sent.
	FailureLeaving Failure = "Leaving"
	// FailureUnknown means that the instance is not in the VM's cached state; nothing was sent.
	FailureUnknown Failure = "Unknown"
	// FailureRefused means that the instance refused a connection or a status request; no statement was sent.
	FailureRefused Failure = "Refused"
	// FailureValues means that the instance refused a value of the session or a prepared statement; the statement was not sent.
	FailureValues Failure = "Values"
	// FailureUnreachable means that no connection could be opened.
	FailureUnreachable Failure = "Unreachable"
	// FailureNoAnswer means that the statement was sent and may have run.
	FailureNoAnswer Failure = "NoAnswer"
	// FailureUnasked means that answers came that nothing had asked for, or may be earlier ones; the statement was not sent.
	FailureUnasked Failure = "Unasked"
	// FailureNoRoom means that the statement was sent and may have run, and that the VM has no memory for its answer.
	FailureNoRoom Failure = "NoRoom"
	// FailureUnmatched means that the statement was sent and may have run, and that what came may be the answer to an earlier one.
	FailureUnmatched Failure = "Unmatched"
)
