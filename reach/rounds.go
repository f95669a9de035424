package reach

import "time"

// rounds counts the consecutive rounds of probes that no VM answered. The zero value has sent none.
type rounds struct {
	// sentAt is when the last round was sent, and conclusive whether a lack of answers to it shows anything.
	sentAt     time.Time
	conclusive bool
	unanswered int
}

// next ends the last round and begins one that is sent now. Any answer since the last round was sent, also one to an earlier round, starts the
// count anew, as does a round that took too long or is not conclusive. A round that is cut short is not counted.
func (r *rounds) next(now time.Time, contact Contact, conclusive bool) {
	took := now.Sub(r.sentAt)
	switch {
	case r.sentAt.IsZero():
	case !contact.AnsweredAt.Before(r.sentAt), took > maxRoundTime, !r.conclusive:
		r.unanswered = 0
	case took >= RoundInterval:
		r.unanswered++
	}
	r.sentAt, r.conclusive = now, conclusive
}

// answered reports whether anything outside the failure domain answered since the last round was sent.
func (r *rounds) answered(contact Contact) bool { return !r.sentAt.IsZero() && contact.since(r.sentAt) }
