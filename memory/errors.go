package memory

import "github.com/cockroachdb/errors"

var (
	// ErrNoRoom reports that there is no memory for something now.
	ErrNoRoom = errors.New("there is no memory for it now")
	// ErrSessionFull reports that the values and prepared statements of a session would take more than a session may.
	ErrSessionFull = errors.New("the values and prepared statements of the session take too much memory")
	// ErrTooSlow reports that a message took too long from its beginning to its end.
	ErrTooSlow = errors.New("the message arrives too slowly")
)
