package sess

import "github.com/crocusshore/crocusshore/model"

// Step describes what was sent to an instance, as far as it decides which outcome may be reported to the caller.
type Step struct {
	Kind StepKind
	// Wrote is set if the transaction of the step ran a write.
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
	// StepCommit commits a transaction.
	StepCommit StepKind = "Commit"
)

// MayCommit reports whether the step itself can have a lasting effect.
func (s Step) MayCommit() bool {
	return s.Kind == StepWrite || (s.Kind == StepCommit && s.Wrote)
}

// Settles reports whether the answer of an instance to the step tells whether it committed: the answer is a success with a proof, or a fault after
// which the caller is promised that nothing is kept.
func (s Step) Settles(reply model.Reply) bool {
	if reply.Fault == "" {
		return reply.Proof != ""
	}
	return reply.Fault.NotRun()
}

// UnansweredFault returns the fault of a step that was sent and got no answer; timedOut is set if its deadline has passed.
func UnansweredFault(step Step, timedOut bool) model.Fault {
	switch {
	case step.MayCommit():
		return model.FaultUncertain
	case step.Kind == StepRead && timedOut:
		return model.FaultTimeout
	case step.Kind == StepRead:
		return model.FaultFailed
	default:
		// The connection is closed, which rolls the transaction back, and no commit that could make a change last was sent.
		return model.FaultAborted
	}
}

// CallerReply returns the reply to the caller for an answer of an instance. mayAcknowledge is set if the primary was still the primary
// when the answer came; it matters only for a step that can have a lasting effect.
func CallerReply(step Step, reply model.Reply, mayAcknowledge bool) model.Reply {
	switch {
	case reply.Fault == "" && reply.Proof == "":
		return model.Reply{Fault: UnansweredFault(step, false), Detail: "the answer of the instance has no proof"}
	case reply.Fault == "" && step.MayCommit() && !mayAcknowledge:
		return model.Reply{Fault: model.FaultUncertain, Detail: "the primary may have been replaced before it answered"}
	case reply.Fault == "":
		return reply
	}
	reply.Fault = callerFault(step, reply.Fault)
	return reply
}

// callerFault returns the fault that the caller receives for a fault of an instance.
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
