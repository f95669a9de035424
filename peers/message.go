package peers

import (
	"time"

	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/place"
	"github.com/crocusshore/crocusshore/watch"
	"github.com/crocusshore/crocusshore/world"
)

const (
	pathCopies  = "/peers/copies"
	pathRelease = "/peers/release"
	pathOpinion = "/peers/opinion"
)

type (
	// TablesRequest asks for tables that are newer than the versions given.
	TablesRequest struct {
		Versions map[model.TableName]int64
		// Wait is how long the answer may be held back while nothing is newer.
		Wait time.Duration
		// Conditions are the instances that the asking VM saw do worse than usual.
		Conditions []place.Condition `json:",omitempty"`
	}

	// TablesReply holds the tables; one that is not newer comes without rows.
	TablesReply struct {
		Copies []watch.TableUpdate
		// Waited is how long the answer was held back.
		Waited time.Duration
		// Samples are positions of primaries, and Witnessed what replicas proved of leases on them.
		Samples   []Sample
		Witnessed []world.TermCheck `json:",omitempty"`
		// Conditions are the instances that the VMs of the failure domain saw do worse than usual.
		Conditions []place.Condition `json:",omitempty"`
	}

	// Sample is a position of the primary of a group, as old as Age when the answer was given.
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
		// Settle is how long answers that are under way may still be waited for.
		Settle time.Duration
		Spread Fanout
	}

	// OpinionRequest asks a VM whether it reaches the primary of a group.
	OpinionRequest struct {
		Group  model.GroupName
		Spread Fanout
	}

	// Responder answers peers.
	Responder interface {
		// Tables returns the tables that are newer than the versions given, and waits for them as long as the request allows.
		Tables(request TablesRequest) TablesReply
		// Release stops the use of a primary and returns once nothing uses it.
		Release(request ReleaseRequest) elect.Release
		// Opinion asks the primary and tells what it found.
		Opinion(request OpinionRequest) elect.Opinion
	}
)
