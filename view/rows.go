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

	// ShardCount is how many quota shards the buckets are spread over; the parts of a bucket lie in
	// shards that follow one another, and as a multiple of three it lets them stand in three failure domains.
	ShardCount = 15
	// MaxTermStarts is how many term starts a placement remembers.
	MaxTermStarts = 16
)

type (
	// TermStart is the last position of the history before a term.
	TermStart struct {
		Term     model.Term
		Position model.Position
	}
	// Placement names the primary of a group; Primary is empty while the term is being filled.
	Placement struct {
		Term    model.Term
		Primary model.InstanceName
		Starts  []TermStart
		// Target is the instance that an operator wants as the next primary.
		Target model.InstanceName
		// Previous is the primary of the term before.
		Previous model.InstanceName
		// Raised is the version that raised the term.
		Raised model.Version
	}
	// Shard names the process that mints the tokens of a quota shard since a version.
	Shard struct {
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
	// Member is a process of the fleet that the view names.
	Member struct {
		VM      model.VMID
		Boot    model.BootID
		Domain  model.Domain
		Address netip.AddrPort
	}
	// Stewards confirm the view while the store is out of reach; Previous is set while a change of the stewards is pending.
	Stewards struct {
		Current  []Member
		Previous []Member
		// Since is the version that made the current set.
		Since model.Version
	}
)

// Start returns the last position of the history before a term and whether it is remembered.
func (p Placement) Start(term model.Term) (model.Position, bool) {
	for _, start := range p.Starts {
		if start.Term == term {
			return start.Position, true
		}
	}
	return 0, false
}

// LastPrimary returns the instance whose failure matters: the primary, or the last one while the term is being filled.
func (p Placement) LastPrimary() model.InstanceName {
	if p.Primary != "" {
		return p.Primary
	}
	return p.Previous
}

// Sets returns the sets of stewards of which each must hear of a change.
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

// NodeKey returns the row key of a node of the settings.
func NodeKey(path tree.NodePath) string { return nodePrefix + string(path) }

// KeyKey returns the row key of a caller's key.
func KeyKey(id model.KeyID) string { return keyPrefix + string(id) }

// PlacementKey returns the row key of the placement of a group.
func PlacementKey(group model.GroupName) string { return placementPrefix + string(group) }

// ShardKey returns the row key of a quota shard.
func ShardKey(shard int) string { return shardPrefix + strconv.Itoa(shard) }

// StewardsKey returns the row key of the stewards.
func StewardsKey() string { return stewardsKey }

// ShardOf returns the shard of a part of a bucket.
func ShardOf(bucket string, part int) int {
	return int((xxhash.Sum64String(bucket) + uint64(part)) % ShardCount)
}
