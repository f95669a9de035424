package serve

import "time"

const (
	// readerWitnessAge and witnessAge are how old the proof for a group may be before the reader of a failure domain asks a replica as
	// a witness, and before any other VM does, which hears of the reader's.
	readerWitnessAge = 1000 * time.Millisecond
	witnessAge       = 1500 * time.Millisecond
)

type (
	// state is what a VM knows of a group that is read.
	state struct {
		// reader tells that this VM takes samples for its failure domain.
		reader bool
		// leased tells that the primary may be used now, and replacing that its replacement is announced.
		leased, replacing bool
		// failing tells that the primary did not answer last.
		failing bool
		// young tells that the last sample is.
		young    bool
		proofAge time.Duration
	}

	// needed are the questions that a VM asks about a group.
	needed struct {
		// witness asks a replica whether it is paused, primary asks for the position, and replicas for what all of them received.
		witness, primary, replicas bool
	}
)

// questions decides what to ask. Replicas witness nothing while they are stopped for a replacement, and are asked for what they received
// by one VM of a failure domain, where the primary cannot be asked.
func questions(s state) needed {
	oldest := witnessAge
	if s.reader {
		oldest = readerWitnessAge
	}
	return needed{
		witness:  !s.replacing && s.proofAge > oldest,
		primary:  s.leased && (!s.young || s.failing),
		replicas: s.reader && !s.young && (!s.leased || s.failing),
	}
}
