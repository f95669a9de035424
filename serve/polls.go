package serve

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// readerAgeShare is the share of the shortest allowed staleness after which the reader of a failure domain takes a new sample.
	// defaultAgeShare is the share for any other VM. It is larger, since these VMs receive the samples of the reader.
	readerAgeShare  = 0.4
	defaultAgeShare = 0.85
	// maxOpinionAge bounds the age of an answer on which an opinion on a primary rests.
	maxOpinionAge = 150 * time.Millisecond
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

// refreshAge returns the age of the last sample beyond which a VM needs a new one, for routes that allow a staleness of maxAge.
func refreshAge(maxAge time.Duration, reader bool) time.Duration {
	if reader {
		return ageShare(maxAge, readerAgeShare)
	}
	return ageShare(maxAge, defaultAgeShare)
}

// sampleMaxAge returns how long ago a primary may have been asked for a sample, for routes that allow a staleness of maxAge. While the reader's samples
// arrive late, all VMs of a failure domain need one; they share the answers, each of which is as old as a sample of the reader may be.
//
// The reader's own samples get older on their way to the others. A VM that observes a failing primary has to learn of its recovery, and counts each failure
// once: its rounds are refreshInterval or more apart.
func sampleMaxAge(s groupState, maxAge time.Duration) time.Duration {
	allowed := ageShare(maxAge, readerAgeShare)
	if s.reader || s.primaryFailing {
		return min(allowed, refreshInterval)
	}
	return allowed
}

// termCheckMaxAge returns how long ago a replica may have been asked for a term check. While the tables are stale, all VMs of a failure domain run
// them, and share the answers; a lease runs from when the replica was asked.
func termCheckMaxAge(s groupState) time.Duration {
	if s.reader {
		return refreshInterval
	}
	return maxEvidenceAge - readerMaxEvidenceAge
}

// opinionMaxAge returns how long ago a primary may have been asked for an opinion on it. A primary that is registered as a replica is asked anew, because an
// answer from before the registration does not count.
func opinionMaxAge(primary model.Instance) time.Duration {
	if primary.Role == model.RoleReplica {
		return 0
	}
	return maxOpinionAge
}

func ageShare(maxAge time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(maxAge))
}
