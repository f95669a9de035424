package model

import (
	"fmt"
	"time"
)

// Refusal is the typed error that a caller receives instead of an answer.
type Refusal struct {
	Outcome    Outcome
	Reason     Reason
	Detail     string
	RetryAfter time.Duration
}

// Error returns the outcome, the reason and the detail.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Outcome, r.Reason, r.Detail)
}

// Refuse returns a refusal of a request that had no effect.
func Refuse(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Outcome: NotRun, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// Uncertain returns a refusal of a request that may have run.
func Uncertain(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Outcome: Unknown, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter sets the time after which a retry may help.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}
