package elect

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// Cause tells why a primary is replaced.
type Cause string

const (
	// CauseNone means that nothing is to be done.
	CauseNone Cause = "None"
	// CauseAdopt means that no row names the primary yet.
	CauseAdopt Cause = "Adopt"
	// CausePlanned means that the primary leaves and still serves.
	CausePlanned Cause = "Planned"
	// CauseSuspected means that the primary does not answer here, and other VMs have to be asked.
	CauseSuspected Cause = "Suspected"
	// CauseGone means that the primary's registration is gone.
	CauseGone Cause = "Gone"
	// CauseResume means that a replacement was announced and whoever announced it does not go on.
	CauseResume Cause = "Resume"
)

const (
	// suspectAfter is how long a primary must have failed without an answer before other VMs are asked.
	suspectAfter = 350 * time.Millisecond
	// suspectFailures is how many failures in a row are needed at least.
	suspectFailures = 2
	// stuckAfter is how long commits must have gone unanswered while the primary answers otherwise.
	stuckAfter = 900 * time.Millisecond
	// resumeAfter is how long an announced replacement may stand still; it covers the longest use of the duty.
	resumeAfter = 6 * time.Second
	// maxAnswerAge is how old the last answer of a primary may be while it counts as reachable.
	maxAnswerAge = 350 * time.Millisecond
)

// PrimaryState is what one VM knows about the primary of a group.
type PrimaryState struct {
	// Recorded tells that a row names the primary, and Registered that the primary is registered.
	Recorded, Registered bool
	Leaving              bool
	// Announced tells that a replacement is under way, since AnnouncedSince on this VM's clock, by this VM where Ours is set.
	Announced, OwnAnnouncement bool
	// Abandoned tells that whoever announced it holds the duty no longer, and so cannot go on.
	Abandoned      bool
	AnnouncedSince time.Time
	// FailingSince and Failures describe failures without an answer in between.
	FailingSince time.Time
	Failures     int
	// StuckSince tells since when no commit was answered though some were sent.
	StuckSince time.Time
}

// Assess tells what the signs call for.
func Assess(now time.Time, s PrimaryState) Cause {
	switch {
	case !s.Recorded:
		return CauseAdopt
	case s.Announced && (s.OwnAnnouncement || s.Abandoned || now.Sub(s.AnnouncedSince) >= resumeAfter):
		return CauseResume
	case s.Announced:
		return CauseNone
	case !s.Registered:
		return CauseGone
	case s.Leaving:
		return CausePlanned
	case s.Failures >= suspectFailures && !s.FailingSince.IsZero() && now.Sub(s.FailingSince) >= suspectAfter:
		return CauseSuspected
	case !s.StuckSince.IsZero() && now.Sub(s.StuckSince) >= stuckAfter:
		return CauseSuspected
	default:
		return CauseNone
	}
}

// Opinion is what another VM, or this one, finds about a primary when asked.
type Opinion struct {
	VM model.VMID
	// Reached tells that the primary answered just now as the primary of its term.
	Reached bool
	// StuckFor is how long commits have gone unanswered on the VM, 0 where they are answered or none was sent.
	StuckFor time.Duration
	// CommitAge is how long ago a commit was last answered, negative where none was.
	CommitAge time.Duration
}

// Verdict is what the opinions on a primary come to.
type Verdict string

const (
	// VerdictKeep means that the primary leads on.
	VerdictKeep Verdict = "Keep"
	// VerdictUnreachable means that most VMs cannot reach it.
	VerdictUnreachable Verdict = "Unreachable"
	// VerdictStuck means that it answers, while commits are stuck on some VM and answered on none.
	VerdictStuck Verdict = "Stuck"
)

// Decide tells whether the opinions call for another primary.
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
