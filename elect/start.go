package elect

import "time"

const (
	// readerDelay is how much longer each reader waits before it acts on a primary than the reader ranked before it, so that usually only
	// one acts.
	readerDelay = 250 * time.Millisecond
	// observerDelay is how long the other VMs leave a primary to the readers.
	observerDelay = 500 * time.Millisecond
	// observerSpread is the time over which the other VMs are spread, whatever their number, so that a few act even if only a few of very many
	// observe a failure.
	observerSpread = 2 * time.Second
)

// Turn is the place of a VM in the order in which VMs act on a primary that has to be recorded or replaced.
type Turn struct {
	// Reader is the rank of the VM among the VMs that read the store for a failure domain, or negative if it is none of them. The readers
	// ask every primary for its position, so that they observe each failure.
	Reader int
	// Spread places any other VM, from 0 for the first to 1 for the last.
	Spread float64
}

// StartDelay returns how long a VM waits, from the time when it finds a cause, before it acts on a primary.
func StartDelay(t Turn) time.Duration {
	if t.Reader >= 0 {
		return time.Duration(t.Reader) * readerDelay
	}
	return observerDelay + time.Duration(t.Spread*float64(observerSpread))
}
