package soak

import (
	"strings"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// readSlack is how long after the last byte of a statement a connection may end without an answer, if no instance got the statement.
	readSlack = 200 * time.Millisecond
	// excusedAfterStop is until when after SIGTERM a statement may have been sent that is excused if its instance works on it for too long.
	excusedAfterStop = 3 * time.Second
	// excusedShare is the part of the grace period, its last, in which the end of the process excuses the end of such a statement.
	excusedShare = 6
)

type (
	// passage is what happened to a statement between its caller and the instances.
	passage struct {
		sentAt time.Time
		// arrivedAt is when it first reached an instance, and finishedAt when an instance last ended its work; zero if never.
		arrivedAt, finishedAt time.Time
		// connLost is set if an instance closed the connection of the statement.
		connLost bool
	}

	// unanswered is a statement whose connection ended without a complete answer.
	unanswered struct {
		id      model.RequestID
		vm      model.VMID
		endedAt time.Time
		// stoppedAt is when the VM last got SIGTERM, zero if never, and grace the time that it had from then on.
		stoppedAt time.Time
		grace     time.Duration
	}
)

// recordPassage changes the passage of a statement that a caller sent.
func (h *history) recordPassage(id model.RequestID, change func(*passage)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a, known := h.sent[id]; known {
		change(&a.passage)
		h.sent[id] = a
	}
}

// recordUnanswered records a statement whose connection ended; it is checked once all statements have come to rest.
func (h *history) recordUnanswered(u unanswered) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unanswered = append(h.unanswered, u)
}

// checkAnswers checks the statements without an answer and returns how many of them are violations; the caller holds the lock.
func (h *history) checkAnswers() int {
	count := 0
	for _, u := range h.unanswered {
		a := h.sent[u.id]
		if !u.isViolation(a.passage) {
			continue
		}
		count++
		phase := "never stopped"
		if !u.stoppedAt.IsZero() {
			phase = u.endedAt.Sub(u.stoppedAt).Round(time.Millisecond).String() + " after its SIGTERM"
		}
		kind, _, _ := strings.Cut(a.text, " ")
		h.addViolationLocked("unanswered: %s %s by %s, connection ended %s, %s; sent %s before; at an instance: %t",
			kind, u.id, u.vm, u.endedAt.Format(clockFormat), phase, u.endedAt.Sub(a.passage.sentAt).Round(time.Millisecond), !a.passage.arrivedAt.IsZero())
	}
	return count
}

// isViolation reports whether the VM owed an answer to the statement.
func (u unanswered) isViolation(p passage) bool {
	waited := u.endedAt.Sub(p.sentAt)
	if waited >= routeTimeout || p.connLost {
		return false
	}
	if p.arrivedAt.IsZero() && waited <= readSlack {
		return false
	}
	return !u.isExcused(p)
}

// isExcused reports whether an instance was still at work when the grace period of the VM was all but over.
func (u unanswered) isExcused(p passage) bool {
	if u.stoppedAt.IsZero() || p.arrivedAt.IsZero() || p.sentAt.After(u.stoppedAt.Add(excusedAfterStop)) {
		return false
	}
	lastPart := u.stoppedAt.Add(u.grace - u.grace/excusedShare)
	return p.finishedAt.IsZero() || p.finishedAt.After(lastPart)
}
