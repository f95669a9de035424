package remote

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/tree"
)

type (
	// Request is one step on a connection to an instance. A stream of requests keeps its connection while a transaction is open.
	Request struct {
		Instance model.InstanceName
		Team     model.TeamName
		Class    tree.Class
		Route    model.RouteName
		// Term is set where the instance is used as the primary of that term.
		Term model.Term
		// Wait bounds the wait for a connection, and Limit the whole step.
		Wait, Limit time.Duration

		// Status asks for the state of the instance, on a connection of whatever team, and nothing of what follows.
		Status    bool
		Values    map[string]string
		Query     model.Query
		Prepared  *model.Prepared
		Arguments string
	}

	// Answer is what came of a request.
	Answer struct {
		Failure Failure
		// Fault is the refusal of the instance where Failure is FailureRefused, and Detail tells more of any failure.
		Fault  model.Fault
		Detail string
		Reply  model.Reply
		State  model.InstanceState
	}

	// Failure tells why there is no answer of the instance; it is empty where there is one.
	Failure string
)

const (
	// FailureBusy means that no connection came free in time.
	FailureBusy Failure = "Busy"
	// FailureLease means that the VM may not use the primary of the term now; nothing was sent.
	FailureLease Failure = "Lease"
	// FailureLeaving means that the VM stops and takes no new work; nothing was sent.
	FailureLeaving Failure = "Leaving"
	// FailureUnknown means that the VM does not know the instance; nothing was sent.
	FailureUnknown Failure = "Unknown"
	// FailureRefused means that the instance refused a connection or a question; no statement was sent.
	FailureRefused Failure = "Refused"
	// FailureUnreachable means that no connection could be opened.
	FailureUnreachable Failure = "Unreachable"
	// FailureNoAnswer means that the statement was sent and may have run.
	FailureNoAnswer Failure = "NoAnswer"
)
