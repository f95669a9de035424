package limit

import (
	"strconv"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/quota"
	"github.com/crocusshore/crocusshore/view"
)

// Issuer mints the tokens of the buckets whose shards the process holds.
type Issuer struct {
	boot model.BootID

	mu      sync.Mutex
	buckets map[Part]*issuedBucket
	next    int64
}

type issuedBucket struct {
	bucket *quota.Bucket
	limit  quota.Limit
	since  model.Version
}

// NewIssuer returns an issuer without buckets.
func NewIssuer(boot model.BootID) *Issuer {
	return &Issuer{boot: boot, buckets: map[Part]*issuedBucket{}}
}

// Grant returns a grant and whether this process holds the bucket.
//
// The caller has checked that the view is confirmed, and knows since when the shard's version is in force: what
// the bucket gained since then is surely unspent.
func (i *Issuer) Grant(now, inForceSince time.Time, state *view.State, part Part, wanted int) (quota.Grant, bool) {
	shard, ok := state.Shards[part.Shard()]
	if !ok || shard.Holder.Boot != i.boot {
		return quota.Grant{}, false
	}
	limit := part.limit(state.Tree)
	i.mu.Lock()
	defer i.mu.Unlock()
	kept := i.buckets[part]
	if kept == nil || kept.since != shard.Since {
		kept = &issuedBucket{bucket: quota.NewBucket(limit, inForceSince), limit: limit, since: shard.Since}
		i.buckets[part] = kept
	}
	if kept.limit != limit {
		kept.bucket.Resize(now, limit)
		kept.limit = limit
	}
	i.next++
	return kept.bucket.Grant(now, strconv.FormatInt(i.next, 36), wanted), true
}

// Return takes unspent tokens back.
func (i *Issuer) Return(now time.Time, part Part, id string, tokens int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if kept := i.buckets[part]; kept != nil {
		kept.bucket.Return(now, id, tokens)
	}
}
