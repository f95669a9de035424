package serve

import "time"

const (
	// readerTermCheckMaxAge and witnessAge are how old the proof for a group may be before the reader of a failure domain asks a replica as
	// a witness, and before any other VM does, which hears of the reader's.
	readerTermCheckMaxAge = 1000 * time.Millisecond
	termCheckMaxAge       = 1500 * time.Millisecond
)

type (
	// groupState is what a VM knows of a group that is read.
	groupState struct {
		// reader tells that this VM takes samples for its failure domain.
		reader bool
		// leased tells that the primary may be used now, and replacing that its replacement is announced.
		leased, replacing bool
		// primaryFailing tells that the primary did not answer last.
		primaryFailing bool
		// hasFreshSample tells that the last sample is.
		hasFreshSample bool
		evidenceAge    time.Duration
	}

	// polls are the questions that a VM asks about a group.
	polls struct {
		// termCheck asks a replica whether it is paused, primary asks for the position, and replicas for what all of them received.
		termCheck, primary, replicas bool
	}
)

// requiredPolls decides what to ask. Replicas witness nothing while they are stopped for a replacement, and are asked for what they received
// by one VM of a failure domain, where the primary cannot be asked.
func requiredPolls(s groupState) polls {
	maxEvidenceAge := termCheckMaxAge
	if s.reader {
		maxEvidenceAge = readerTermCheckMaxAge
	}
	return polls{
		termCheck: !s.replacing && s.evidenceAge > maxEvidenceAge,
		primary:   s.leased && (!s.hasFreshSample || s.primaryFailing),
		replicas:  s.reader && !s.hasFreshSample && (!s.leased || s.primaryFailing),
	}
}
