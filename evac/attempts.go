package evac

import (
	"slices"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// firstPause is the pause after the first attempt to replace an evacuated primary; it doubles with each further attempt.
	firstPause = 2 * time.Second
	// maxPause bounds the pause between two attempts.
	maxPause = time.Minute
	// maxAttempts bounds the attempts while the evacuation, the primary and the replicas elsewhere stay the same. Each attempt interrupts the
	// replication of the group for a moment.
	maxAttempts = 10
)

type (
	// Attempts counts the attempts of any VM, as this VM observed them, to replace the primary of one group because its failure domain is
	// evacuated. The zero value has none.
	Attempts struct {
		situation Situation
		count     int
		lastAt    time.Time
	}

	// Situation is what an attempt depends on. When it changes, the count of attempts starts again.
	Situation struct {
		// Primary is the primary, and LearnedAt is when this VM learned of the evacuation of its failure domain.
		Primary   model.InstanceName
		LearnedAt time.Time
		// Replicas are the replicas that may take over.
		Replicas []model.Incarnation
	}
)

// SituationOf returns the situation of a group whose primary is in an evacuated failure domain.
func (d Domains) SituationOf(primary model.Instance, replicas []model.Instance) Situation {
	s := Situation{Primary: primary.Name, LearnedAt: d[primary.Domain].LearnedAt}
	for _, i := range replicas {
		if !i.Leaving && d.MayStart(i.Domain) {
			s.Replicas = append(s.Replicas, i.Incarnation())
		}
	}
	return s
}

// Observe records the present situation, and starts the count again if it has changed.
func (a *Attempts) Observe(s Situation) {
	if !a.situation.equal(s) {
		*a = Attempts{situation: s}
	}
}

// Record records that a VM announced a replacement.
func (a *Attempts) Record(now time.Time) {
	a.count++
	a.lastAt = now
}

// MayTry reports whether another attempt may be made now.
func (a *Attempts) MayTry(now time.Time) bool {
	return a.count == 0 || (a.count < maxAttempts && now.Sub(a.lastAt) >= pauseAfter(a.count))
}

// pauseAfter returns the pause after a number of attempts.
func pauseAfter(attempts int) time.Duration {
	pause := firstPause
	for range attempts - 1 {
		pause = min(2*pause, maxPause)
	}
	return pause
}

func (s Situation) equal(other Situation) bool {
	return s.Primary == other.Primary && s.LearnedAt.Equal(other.LearnedAt) && slices.EqualFunc(s.Replicas, other.Replicas, model.Incarnation.Equal)
}
