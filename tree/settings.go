package tree

import "time"

// Class is the priority class of a route.
type Class string

const (
	// ClassReservation takes precedence over all other work.
	ClassReservation Class = "Reservation"
	// ClassNormal is the default.
	ClassNormal Class = "Normal"
	// ClassBrowsing yields to the other classes but is never starved.
	ClassBrowsing Class = "Browsing"
)

// Acknowledge selects when a write counts as done.
type Acknowledge string

const (
	// AcknowledgeReplicated waits until a majority of the instances hold the write.
	AcknowledgeReplicated Acknowledge = "Replicated"
	// AcknowledgePrimary relies on the primary alone.
	AcknowledgePrimary Acknowledge = "Primary"
)

// Settings are the effective settings of one node. Rate is in requests per second, and Burst in requests.
type Settings struct {
	Rate   float64
	Burst  float64
	Weight float64
	Class  Class
	// MaxAge is how far a replica may lag behind its primary to serve a read. For reads of the primary it replaces
	// WriteBound if it is longer.
	MaxAge time.Duration
	// ReplicaWait is how long a read may wait for a replica to apply what its session has observed.
	ReplicaWait time.Duration
	Deadline    time.Duration
	Acknowledge Acknowledge
	// QueueLimit is how many requests of one team and class may wait for an instance at the same time.
	QueueLimit int
	// TransactionIdle is how long an interactive transaction may be idle before it is rolled back.
	TransactionIdle time.Duration
	// GracePeriod is how long a VM that is stopping waits for running requests and transactions to finish.
	GracePeriod time.Duration
	// Availability is the share of the requests that must be done. LatencyShare is the share of the done requests whose latency
	// must not exceed LatencyTarget.
	Availability  float64
	LatencyShare  float64
	LatencyTarget time.Duration

	// The settings from here on can only be set for the fleet.

	// WriteBound is the age below which a confirmation of the view allows a write to be acknowledged.
	WriteBound time.Duration
	// KeyBound is the age below which a confirmation of the view allows a key to be accepted.
	KeyBound time.Duration
	// StewardTerm is how long after its last confirmation from the store a steward may confirm the view.
	StewardTerm time.Duration
	// SuspectAfter is how long an instance or a VM must have left probes unanswered to count as failed.
	SuspectAfter time.Duration
	// Stewards is the number of stewards.
	Stewards int
}

// Defaults returns the settings of a fleet that overrides nothing.
func Defaults() Settings {
	return Settings{
		Rate:            200,
		Burst:           200,
		Weight:          1,
		Class:           ClassNormal,
		MaxAge:          5 * time.Second,
		ReplicaWait:     20 * time.Millisecond,
		Deadline:        5 * time.Second,
		Acknowledge:     AcknowledgeReplicated,
		QueueLimit:      256,
		TransactionIdle: 10 * time.Second,
		GracePeriod:     10 * time.Second,
		Availability:    0.999,
		LatencyShare:    0.99,
		LatencyTarget:   250 * time.Millisecond,
		WriteBound:      750 * time.Millisecond,
		KeyBound:        1500 * time.Millisecond,
		StewardTerm:     2 * time.Minute,
		SuspectAfter:    700 * time.Millisecond,
		Stewards:        5,
	}
}
