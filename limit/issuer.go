package limit

import (
	"strconv"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/quota"
	"github.com/crocusshore/crocusshore/view"
)

// Issuer grants the tokens of the buckets whose shards the process holds. It is safe for concurrent use.
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
// The caller must have checked that the view is confirmed and must pass the instant since which the shard's version is in
// effect: the tokens that the bucket gained since then are certainly unspent.
func (i *Issuer) Grant(now, inEffectSince time.Time, state *view.State, part Part, wanted int) (quota.Grant, bool) {
	shard, ok := state.QuotaShards[part.Shard()]
	if !ok || shard.Holder.Boot != i.boot {
		return quota.Grant{}, false
	}
	limit := part.limit(state.Tree)
	i.mu.Lock()
	defer i.mu.Unlock()
	issued := i.buckets[part]
	if issued == nil || issued.since != shard.Since {
		issued = &issuedBucket{bucket: quota.NewBucket(limit, inEffectSince), limit: limit, since: shard.Since}
		i.buckets[part] = issued
	}
	if issued.limit != limit {
		issued.bucket.Resize(now, limit)
		issued.limit = limit
	}
	i.next++
	return issued.bucket.Grant(now, strconv.FormatInt(i.next, 36), wanted), true
}

// Return puts unspent tokens of a grant back into the bucket.
func (i *Issuer) Return(now time.Time, part Part, id string, tokens int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if issued := i.buckets[part]; issued != nil {
		issued.bucket.Return(now, id, tokens)
	}
}
