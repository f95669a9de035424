package elect

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// Cause is the reason why a primary has to be recorded or replaced, or its record changed.
type Cause string

const (
	// CauseNone means that nothing is to be done.
	CauseNone Cause = "None"
	// CauseRecord means that no row names the primary yet.
	CauseRecord Cause = "Adopt"
	// CausePlanned means that the primary is leaving or its failure domain is evacuated, while it still serves.
	CausePlanned Cause = "Planned"
	// CauseSuspected means that the primary does not answer this VM, does not answer its commits, or is registered as a replica. Other VMs have to
	// be asked.
	CauseSuspected Cause = "Suspected"
	// CauseGone means that the primary is no longer registered.
	CauseGone Cause = "Gone"
	// CauseReplicas means that the record does not name the replicas that an acknowledged commit may rest on.
	CauseReplicas Cause = "Replicas"
	// CauseConfirm means that the store came back from an older copy and may have forgotten the newest record.
	CauseConfirm Cause = "Confirm"
	// CauseResume means that a replacement was announced and is not continued by the process that announced it.
	CauseResume Cause = "Resume"
)

const (
	// suspectAfter is how long requests to a primary must have failed before other VMs are asked.
	suspectAfter = 350 * time.Millisecond
	// suspectFailures is the least number of consecutive failures before other VMs are asked.
	suspectFailures = 2
	// stuckAfter is how long commits must have been unanswered, while the primary answers otherwise, to count as stuck.
	stuckAfter = 900 * time.Millisecond
	// resumeAfter is how long another VM's replacement is left alone; it covers the longest use of the coordinator lease.
	resumeAfter = 6 * time.Second
	// notLeadingAfter is how long the registration of a primary must have shown a replica before other VMs are asked. A new primary registers its
	// role as soon as it leads.
	notLeadingAfter = time.Second
	// maxAnswerAge bounds how long ago a commit may have been answered to show that the primary still commits.
	maxAnswerAge = 350 * time.Millisecond
)

// PrimaryState is what one VM has observed of the primary of a group.
type PrimaryState struct {
	// Unconfirmed reports that the record was not written since the store came back from an older copy, and ConfirmDue that this VM may confirm it now.
	Unconfirmed, ConfirmDue bool
	// Recorded reports whether a row names the primary, and Registered whether the primary is registered.
	Recorded, Registered bool
	// AbsenceSettled reports whether a primary that is not registered is certainly gone. Otherwise it may not have registered again yet after
	// an outage of the store.
	AbsenceSettled bool
	Leaving        bool
	// Evacuated reports that the failure domain of the primary is evacuated, that a replica elsewhere may take over, and that another attempt may be
	// made now.
	Evacuated bool
	// Announced reports whether a replacement is announced, and OwnAnnouncement whether this VM announced it in a run that has ended.
	Announced, OwnAnnouncement bool
	// Abandoned reports that the process which announced the replacement no longer holds the coordinator lease, so it cannot continue.
	Abandoned bool
	// AnnouncedSince is since when this VM has observed the announcement, on its own clock.
	AnnouncedSince time.Time
	// FailingSince and Failures describe the consecutive failures since the last answer.
	FailingSince time.Time
	Failures     int
	// StuckSince is since when no commit was answered although some were sent, or zero.
	StuckSince time.Time
	// NotLeadingSince is since when this VM has observed that the primary is registered as a replica, or zero.
	NotLeadingSince time.Time
	// ReplicasOutdated reports that the recorded replicas have to be changed.
	ReplicasOutdated bool
}

// Assess returns why the primary has to be recorded or replaced, or its record changed, if it has to.
func Assess(now time.Time, s PrimaryState) Cause {
	switch {
	case s.Unconfirmed && s.ConfirmDue:
		return CauseConfirm
	case s.Unconfirmed:
		return CauseNone
	default:
		return s.assessRecord(now)
	}
}

// assessRecord assesses a primary whose record, if there is one, was written in the present era of the store.
func (s PrimaryState) assessRecord(now time.Time) Cause {
	switch {
	case !s.Recorded:
		return CauseRecord
	case s.Announced && (s.OwnAnnouncement || s.Abandoned || now.Sub(s.AnnouncedSince) >= resumeAfter):
		return CauseResume
	case s.Announced:
		return CauseNone
	case !s.Registered && s.AbsenceSettled:
		return CauseGone
	case !s.Registered:
		return CauseNone
	case s.Leaving:
		return CausePlanned
	case s.suspected(now):
		return CauseSuspected
	case s.Evacuated:
		return CausePlanned
	case s.ReplicasOutdated:
		return CauseReplicas
	default:
		return CauseNone
	}
}

// suspected reports whether the primary does not answer this VM, does not answer its commits, or is registered as a replica.
func (s PrimaryState) suspected(now time.Time) bool {
	failing := s.Failures >= suspectFailures && !s.FailingSince.IsZero() && now.Sub(s.FailingSince) >= suspectAfter
	stuck := !s.StuckSince.IsZero() && now.Sub(s.StuckSince) >= stuckAfter
	notLeading := !s.NotLeadingSince.IsZero() && now.Sub(s.NotLeadingSince) >= notLeadingAfter
	return failing || stuck || notLeading
}

// Opinion is what a VM, which may be this one, has observed of a primary when it is asked.
type Opinion struct {
	VM model.VMID
	// Reached reports whether the primary answered just now as the primary of its term.
	Reached bool
	// StuckFor is how long commits have been unanswered on the VM, or 0 if they are answered or none was sent.
	StuckFor time.Duration
	// CommitAge is the time since a commit was last answered on the VM, or negative if none was.
	CommitAge time.Duration
}

// Verdict is the conclusion from all opinions on a primary.
type Verdict string

const (
	// VerdictKeep means that the primary stays.
	VerdictKeep Verdict = "Keep"
	// VerdictUnreachable means that most VMs cannot reach it.
	VerdictUnreachable Verdict = "Unreachable"
	// VerdictStuck means that it answers, while commits are stuck on some VM and answered on none.
	VerdictStuck Verdict = "Stuck"
)

// Survey is the result of asking VMs about a primary.
type Survey struct {
	Opinions []Opinion
	// Domains is the number of failure domains whose VMs were asked, and Answered the number of those from which a VM answered. Both include the failure
	// domain of the VM that asked.
	Domains, Answered int
	// ReachesElsewhere reports whether a replica of the group in another failure domain answers the VM that asked. It is called only if at most half of
	// the failure domains answered.
	ReachesElsewhere func() bool
}

// Verdict returns the verdict that a survey leads to. All VMs of a failure domain that is cut off fail to reach the primaries elsewhere,
// and VMs elsewhere do not answer them. Unless most failure domains answered, the primary is therefore kept, except if instances elsewhere answer: then the
// VMs there are down.
func (s Survey) Verdict() Verdict {
	verdict := Decide(s.Opinions)
	if verdict == VerdictKeep || 2*s.Answered > s.Domains || s.ReachesElsewhere() {
		return verdict
	}
	return VerdictKeep
}

// Decide returns the verdict that the opinions on a primary lead to.
func Decide(opinions []Opinion) Verdict {
	reached, stuck, committing := 0, false, false
	for _, o := range opinions {
		if o.Reached {
			reached++
		}
		stuck = stuck || o.StuckFor >= stuckAfter
		committing = committing || (o.CommitAge >= 0 && o.CommitAge < maxAnswerAge)
	}
	switch {
	case reached*2 < len(opinions):
		return VerdictUnreachable
	case stuck && !committing:
		return VerdictStuck
	default:
		return VerdictKeep
	}
}
