package check

import (
	"fmt"
	"sync"
)

// Invariant names a condition that must always hold.
type Invariant string

const (
	// ReadYourWrites means that an answer includes what its session has written or read before.
	ReadYourWrites Invariant = "ReadYourWrites"
	// NoReplacedAck means that no write is acknowledged in a term that was replaced.
	NoReplacedAck Invariant = "NoReplacedAck"
	// AtMostOnce means that a request runs at most once.
	AtMostOnce Invariant = "AtMostOnce"
	// OwnAnswer means that a caller gets the answer to its own request.
	OwnAnswer Invariant = "OwnAnswer"
	// TrueRefusal means that a request that is reported as not run has no effect.
	TrueRefusal Invariant = "TrueRefusal"
	// NoRevert means that the view never goes back to an older version.
	NoRevert Invariant = "NoRevert"
	// WithinRate means that no team gets more than its rate and burst.
	WithinRate Invariant = "WithinRate"
	// KeyRevoked means that a revoked key stops working within seconds.
	KeyRevoked Invariant = "KeyWithdrawn"
	// NoLostWrite means that an acknowledged write is not lost.
	NoLostWrite Invariant = "NoLostWrite"
)

// maxRecorded bounds the violations that are recorded with their details; the others are only counted.
const maxRecorded = 100

// Violation is one violation of an invariant.
type Violation struct {
	Invariant Invariant
	Detail    string
}

// String returns the violation on one line.
func (v Violation) String() string { return string(v.Invariant) + ": " + v.Detail }

// ViolationLog records violations; it is safe for concurrent use.
type ViolationLog struct {
	mu       sync.Mutex
	recorded []Violation
	count    int
}

// Assert records a violation unless the condition holds, and returns the condition.
func (l *ViolationLog) Assert(holds bool, invariant Invariant, format string, args ...any) bool {
	if holds {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	if len(l.recorded) < maxRecorded {
		l.recorded = append(l.recorded, Violation{Invariant: invariant, Detail: fmt.Sprintf(format, args...)})
	}
	return false
}

// Count returns the number of violations.
func (l *ViolationLog) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count
}

// List returns the first maxRecorded violations as text.
func (l *ViolationLog) List() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	texts := make([]string, 0, len(l.recorded))
	for _, violation := range l.recorded {
		texts = append(texts, violation.String())
	}
	return texts
}
