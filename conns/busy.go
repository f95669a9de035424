package conns

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/model"
)

// ErrBusy reports that no connection becomes free in time; nothing was sent.
var ErrBusy = errors.New("all connections to the instance are in use")

// BusyError is an ErrBusy with the time after which a connection is expected.
type BusyError struct {
	// RetryAfter is 0 if unknown.
	RetryAfter time.Duration
}

// Error returns the text of ErrBusy with the time.
func (e *BusyError) Error() string {
	return ErrBusy.Error() + "; one is expected after " + e.RetryAfter.Round(time.Millisecond).String()
}

// Unwrap returns ErrBusy.
func (e *BusyError) Unwrap() error { return ErrBusy }

// busy returns an ErrBusy with the time after which a connection is expected, 0 if unknown.
func busy(retryAfter time.Duration) error { return &BusyError{RetryAfter: retryAfter} }

// busyError returns the ErrBusy for a request that the queue refused, or whose time ended otherwise.
func busyError(err error) error {
	var refusal *model.Refusal
	if errors.As(err, &refusal) {
		return busy(refusal.RetryAfter)
	}
	return errors.Mark(err, ErrBusy)
}

// RetryAfter returns the time after which a connection is expected, if err says so, and otherwise 0.
func RetryAfter(err error) time.Duration {
	var busy *BusyError
	if errors.As(err, &busy) {
		return busy.RetryAfter
	}
	return 0
}
