package serve

import "time"

const (
	// readerMaxEvidenceAge and maxEvidenceAge bound the age of the evidence on which leases of a group rest: beyond them a VM runs a term
	// check, that is, it asks a replica whether it is paused for a later term. The reader of a failure domain does so earlier, because the
	// other VMs receive its term checks.
	readerMaxEvidenceAge = 1000 * time.Millisecond
	maxEvidenceAge       = 1500 * time.Millisecond
)

type (
	// groupState is the local state of a group that decides which requests to send; see requiredPolls.
	groupState struct {
		// reader is set if this VM takes samples for its failure domain.
		reader bool
		// leased is set if the primary may be used now, and replacing if its replacement is announced.
		leased, replacing bool
		// primaryFailing is set if the primary has failed since its last answer. For a reader it is set too if another VM reported that the
		// primary fails, so that the reader establishes the failure soon.
		primaryFailing bool
		// hasRecentSample is set if the last sample is of the current term and recent enough.
		hasRecentSample bool
		// evidenceAge is the age of the newest evidence on which leases of the group rest.
		evidenceAge time.Duration
	}

	// polls selects the requests that a VM sends about a group.
	polls struct {
		// termCheck asks a replica whether it is paused for a later term, primary asks the primary for its log position, and replicas asks
		// all replicas for the positions that they received.
		termCheck, primary, replicas bool
	}
)

// requiredPolls decides which requests to send. A term check is useless while the replicas are paused for a replacement. Where the primary
// cannot be asked, one VM of the failure domain, the reader, asks the replicas for the positions that they received.
func requiredPolls(s groupState) polls {
	allowedAge := maxEvidenceAge
	if s.reader {
		allowedAge = readerMaxEvidenceAge
	}
	return polls{
		termCheck: !s.replacing && s.evidenceAge > allowedAge,
		primary:   s.leased && (!s.hasRecentSample || s.primaryFailing),
		replicas:  s.reader && !s.hasRecentSample && (!s.leased || s.primaryFailing),
	}
}
