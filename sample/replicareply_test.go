package sample

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

func replica(term, position int) model.InstanceState {
	return model.InstanceState{Role: model.RoleReplica, Term: model.Term(term), Received: mark(term, position)}
}

func TestFromReplicasNeedsEveryReplicaOfTheTerm(t *testing.T) {
	primary := replica(1, 9)
	primary.Role = model.RolePrimary
	for name, c := range map[string]struct {
		asOf    time.Time
		replies []ReplicaReply
		want    Sample
		ok      bool
	}{
		"highest position, as of the first request": {at(90), []ReplicaReply{{at(60), replica(1, 7)}, {at(50), replica(1, 5)}}, Sample{at(50), mark(1, 7)}, true},
		"as of the last instant without others":     {at(40), []ReplicaReply{{at(60), replica(1, 7)}, {at(50), replica(1, 5)}}, Sample{at(40), mark(1, 7)}, true},
		"one without an answer":                     {at(90), []ReplicaReply{{at(60), replica(1, 7)}, {}}, Sample{}, false},
		"one was promoted":                          {at(90), []ReplicaReply{{at(60), replica(1, 7)}, {at(50), primary}}, Sample{}, false},
		"one replica is in a later term":            {at(90), []ReplicaReply{{at(60), replica(1, 7)}, {at(50), replica(2, 7)}}, Sample{}, false},
		"one holds nothing":                         {at(90), []ReplicaReply{{at(60), replica(1, 7)}, {at(50), replica(1, 0)}}, Sample{}, false},
		"no replica":                                {at(90), nil, Sample{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			got, ok := FromReplicas(1, c.asOf, c.replies)
			require.Equal(t, c.ok, ok)
			if ok {
				require.Equal(t, c.want, got)
			}
		})
	}
}
