package peers

import (
	"time"

	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/place"
	"github.com/crocusshore/crocusshore/state"
	"github.com/crocusshore/crocusshore/watch"
)

const (
	pathCopies  = "/peers/copies"
	pathRelease = "/peers/release"
	pathOpinion = "/peers/opinion"
	pathRow     = "/peers/row"
)

type (
	// TablesRequest requests the tables that are newer than the given versions.
	TablesRequest struct {
		Versions map[model.TableName]int64
		// Wait bounds how long the answer may be held back while no table is newer.
		Wait time.Duration
		// Conditions are the instances that the requesting VM observed to do worse than usual.
		Conditions []place.Condition `json:",omitempty"`
		// Understands are the encodings of large rows that the requesting VM understands, and Held the versions that it has of such rows. A VM
		// with an older program states neither.
		Understands []watch.Encoding   `json:",omitempty"`
		Held        []watch.RowVersion `json:",omitempty"`
		// KnowsLost is whether the reader told the requesting VM that their failure domain is lost; the answer is not held back if that has
		// changed. It is nil in a request that is not to the reader or is of a VM with an older program.
		KnowsLost *bool `json:",omitempty"`
	}

	// TablesReply holds the tables; one that is not newer has no rows.
	TablesReply struct {
		Copies []watch.TableUpdate
		// Waited is how long the answer was held back.
		Waited time.Duration
		// Samples are log positions of groups, and Witnessed the term checks that leases on primaries can run from.
		Samples   []Sample
		Witnessed []state.TermCheck `json:",omitempty"`
		// Conditions are the instances that VMs of the failure domain observed to do worse than usual.
		Conditions []place.Condition `json:",omitempty"`
		// Lost is set while the answering VM, as the reader of its failure domain, finds the failure domain lost.
		Lost *LostDomain `json:",omitempty"`
	}

	// LostDomain is the report of the reader of a failure domain that the domain is cut off from all others and from the store; see
	// reach.DomainDetector.
	LostDomain struct {
		// Silent are the VMs of other failure domains that have answered probes of the reader before.
		Silent []model.VMID
	}

	// LostListener receives the reports of the reader about the failure domain.
	LostListener interface {
		// KnowsLost reports whether the reader last told this VM that the failure domain is lost.
		KnowsLost() bool
		// RecordLost is called with each answer of the reader; lost is nil if the failure domain is not lost.
		RecordLost(lost *LostDomain)
	}

	// Sample is a log position of a group, which was Age old when the answer was given; see sample.Sample.
	Sample struct {
		Group model.GroupName
		Mark  model.Mark
		Age   time.Duration
	}

	// ReleaseRequest asks a VM to stop using the primary of a group because of an intent.
	ReleaseRequest struct {
		Group model.GroupName
		// Version is the version of the row with the intent.
		Version int64
		// Settle bounds how long the VM may wait for answers to statements in flight.
		Settle time.Duration
		Spread Fanout
	}

	// OpinionRequest asks a VM whether it can reach the primary of a group.
	OpinionRequest struct {
		Group  model.GroupName
		Spread Fanout
	}

	// Responder serves the requests of peers on this VM.
	Responder interface {
		// Tables returns the tables that are newer than the given versions. While there are none, it waits for as long as the request allows.
		Tables(request TablesRequest) TablesReply
		// Row returns an encoding of a row that an earlier answer of Tables named, or false if this VM no longer has it.
		Row(reference watch.RowReference) ([]byte, bool)
		// Release ends the use of a primary: once it returns, this VM has no lease on it and acknowledges no commit under an older lease.
		Release(request ReleaseRequest) elect.Release
		// Opinion returns what this VM observes of the primary, if necessary after a request to it.
		Opinion(request OpinionRequest) elect.Opinion
	}
)

// UpdateRequest returns what the requesting VM has of the tables and understands.
func (r TablesRequest) UpdateRequest() watch.UpdateRequest {
	return watch.UpdateRequest{Versions: r.Versions, Understands: r.Understands, Held: r.Held}
}
