package sess

import "github.com/crocusshore/crocusshore/model"

// Step is what was sent to an instance, as far as it matters for what the caller may be told.
type Step struct {
	Kind StepKind
	// Wrote tells that the transaction of the step ran a write.
	Wrote bool
}

// StepKind is the kind of a step.
type StepKind string

const (
	// StepRead is a single read.
	StepRead StepKind = "Read"
	// StepWrite is a single write.
	StepWrite StepKind = "Write"
	// StepInTransaction is a statement inside a transaction.
	StepInTransaction StepKind = "Inside"
	// StepCommit ends a transaction.
	StepCommit StepKind = "Commit"
)

// mayPersist tells whether the step itself can leave something behind.
func (s Step) mayPersist() bool {
	return s.Kind == StepWrite || (s.Kind == StepCommit && s.Wrote)
}

// UnansweredFault returns the fault of a step that was sent and got no answer; outOfTime tells that its time is over.
func UnansweredFault(step Step, timedOut bool) model.Fault {
	switch {
	case step.mayPersist():
		return model.FaultUncertain
	case step.Kind == StepRead && timedOut:
		return model.FaultTimeout
	case step.Kind == StepRead:
		return model.FaultFailed
	default:
		// The connection is closed, which rolls back, and nobody asked for a commit that could keep anything.
		return model.FaultAborted
	}
}

// CallerReply returns what the caller is told of an answer; leased tells that the primary still led when the answer came.
func CallerReply(step Step, reply model.Reply, mayAcknowledge bool) model.Reply {
	switch {
	case reply.Fault == "" && reply.Proof == "":
		return model.Reply{Fault: UnansweredFault(step, false), Detail: "the answer of the instance has no proof"}
	case reply.Fault == "" && step.mayPersist() && !mayAcknowledge:
		return model.Reply{Fault: model.FaultUncertain, Detail: "the primary may have been replaced before it answered"}
	case reply.Fault == "":
		return reply
	}
	reply.Fault = callerFault(step, reply.Fault)
	return reply
}

func callerFault(step Step, fault model.Fault) model.Fault {
	switch {
	case fault == model.FaultBusy, fault == model.FaultLagging, fault == model.FaultReadOnly:
		return fault
	case fault.NotRun() && step.Kind == StepInTransaction, fault.NotRun() && step.Kind == StepCommit:
		return model.FaultAborted
	case fault.NotRun():
		return model.FaultBusy
	case fault == model.FaultOther:
		return UnansweredFault(step, false)
	default:
		return fault
	}
}
