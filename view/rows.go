package view

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/tree"
)

const (
	nodePrefix      = "node/"
	keyPrefix       = "key/"
	placementPrefix = "place/"
	shardPrefix     = "shard/"
	stewardsKey     = "stewards"

	// ShardCount is the number of quota shards over which the buckets are spread. The parts of a bucket are in
	// consecutive shards. As a multiple of three it allows these shards to be in three failure domains.
	ShardCount = 15
	// MaxTermStarts bounds the term starts that a placement keeps; the oldest are dropped.
	MaxTermStarts = 16
)

type (
	// TermStart is the last position in the log of a group before a term.
	TermStart struct {
		Term     model.Term
		Position model.Position
	}
	// Placement names the primary of a group; Primary is empty while the term has none yet.
	Placement struct {
		Term    model.Term
		Primary model.InstanceName
		Starts  []TermStart
		// Target is the instance that should become the primary of this term in a planned handover.
		Target model.InstanceName
		// Previous is the last primary before this term.
		Previous model.InstanceName
		// Raised is the version of the view that raised the term.
		Raised model.Version
	}
	// QuotaShard names the process that grants the tokens of a quota shard, and the version of the view since which it does.
	QuotaShard struct {
		Holder Member
		Since  model.Version
	}
	// Key is a caller's key as it is stored, without its secret.
	Key struct {
		Team   model.TeamName
		Salt   []byte
		Hash   []byte
		Issued time.Time
	}
	// Member is a process that the view names as a steward or as the holder of a quota shard.
	Member struct {
		VM      model.VMID
		Boot    model.BootID
		Domain  model.Domain
		Address netip.AddrPort
	}
	// Stewards are a small set of processes whose majority confirms the view while the store is unreachable.
	// Previous is set while a change of the stewards is pending.
	Stewards struct {
		Current  []Member
		Previous []Member
		// Since is the version of the view that named the current set.
		Since model.Version
	}
)

// Start returns the last position in the log before a term, and whether the placement still keeps it.
func (p Placement) Start(term model.Term) (model.Position, bool) {
	for _, start := range p.Starts {
		if start.Term == term {
			return start.Position, true
		}
	}
	return 0, false
}

// LastPrimary returns the primary, or the previous one while the term has none yet. It is the instance to monitor for failure.
func (p Placement) LastPrimary() model.InstanceName {
	if p.Primary != "" {
		return p.Primary
	}
	return p.Previous
}

// Sets returns the sets of stewards, current and previous, that are not empty; Activation counts a majority of each.
func (s Stewards) Sets() [][]Member {
	var sets [][]Member
	if len(s.Current) > 0 {
		sets = append(sets, s.Current)
	}
	if len(s.Previous) > 0 {
		sets = append(sets, s.Previous)
	}
	return sets
}

// NodeKey returns the row key of a node of the settings tree.
func NodeKey(path tree.NodePath) string { return nodePrefix + string(path) }

// KeyKey returns the row key of a caller's key.
func KeyKey(id model.KeyID) string { return keyPrefix + string(id) }

// PlacementKey returns the row key of the placement of a group.
func PlacementKey(group model.GroupName) string { return placementPrefix + string(group) }

// QuotaShardKey returns the row key of a quota shard.
func QuotaShardKey(shard int) string { return shardPrefix + strconv.Itoa(shard) }

// StewardsKey returns the row key of the stewards.
func StewardsKey() string { return stewardsKey }

// QuotaShardOf returns the shard of a part of a bucket.
func QuotaShardOf(bucket string, part int) int {
	return int((xxhash.Sum64String(bucket) + uint64(part)) % ShardCount)
}
