package bench

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/load"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/quota"
)

// gossipDelay is the time after which a VM of the gossip baseline counts an admission by another VM.
const gossipDelay = 200 * time.Millisecond

// sampleLog records the samples of a run, so that the baselines can be computed from the same requests. It is safe for concurrent use.
type sampleLog struct {
	mu      sync.Mutex
	samples map[model.TeamName][]load.Sample
}

func newSampleLog() *sampleLog { return &sampleLog{samples: map[model.TeamName][]load.Sample{}} }

func (l *sampleLog) observe(sample load.Sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples[sample.Team] = append(l.samples[sample.Team], sample)
}

// of returns the samples of a team in the order in which they were sent.
func (l *sampleLog) of(team model.TeamName) []load.Sample {
	l.mu.Lock()
	defer l.mu.Unlock()
	samples := slices.Clone(l.samples[team])
	slices.SortFunc(samples, func(a, b load.Sample) int { return a.SentAt.Compare(b.SentAt) })
	return samples
}

// tokenBucket is a token bucket, which starts full.
type tokenBucket struct {
	limit      quota.Limit
	level      float64
	refilledAt time.Time
}

func newTokenBucket(limit quota.Limit) *tokenBucket {
	return &tokenBucket{limit: limit, level: limit.Burst}
}

func (b *tokenBucket) refill(now time.Time) {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.level = min(b.limit.Burst, b.level+b.limit.Rate*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
}

func (b *tokenBucket) take(now time.Time) bool {
	b.refill(now)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// idealAdmissions returns, for each sample, whether a single bucket for all requests would admit it.
func idealAdmissions(samples []load.Sample, limit quota.Limit) []bool {
	bucket := newTokenBucket(limit)
	admitted := make([]bool, len(samples))
	for i, sample := range samples {
		admitted[i] = bucket.take(sample.SentAt)
	}
	return admitted
}

// entryBuckets holds a bucket for each entry.
type entryBuckets struct {
	limit   quota.Limit
	buckets map[netip.AddrPort]*tokenBucket
}

func newEntryBuckets(limit quota.Limit) *entryBuckets {
	return &entryBuckets{limit: limit, buckets: map[netip.AddrPort]*tokenBucket{}}
}

func (b *entryBuckets) take(sample load.Sample) bool {
	bucket := b.buckets[sample.Entry]
	if bucket == nil {
		bucket = newTokenBucket(b.limit)
		b.buckets[sample.Entry] = bucket
	}
	return bucket.take(sample.SentAt)
}

// staticAdmissions returns, for each sample, whether its VM would admit it if each VM had an equal, fixed share of the limit.
func staticAdmissions(samples []load.Sample, limit quota.Limit, vms int) []bool {
	buckets := newEntryBuckets(quota.Limit{Rate: limit.Rate / float64(vms), Burst: limit.Burst / float64(vms)})
	admitted := make([]bool, len(samples))
	for i, sample := range samples {
		admitted[i] = buckets.take(sample)
	}
	return admitted
}

// gossipAdmissions returns, for each sample, whether its VM would admit it if each VM had a bucket with the full limit. A VM takes its
// own admissions from its bucket at once, and the admissions by other VMs gossipDelay later.
func gossipAdmissions(samples []load.Sample, limit quota.Limit) []bool {
	buckets := newEntryBuckets(limit)
	admitted := make([]bool, len(samples))
	counted := 0
	for i, sample := range samples {
		for ; samples[counted].SentAt.Before(sample.SentAt.Add(-gossipDelay)); counted++ {
			for entry, bucket := range buckets.buckets {
				if admitted[counted] && entry != samples[counted].Entry {
					bucket.level--
				}
			}
		}
		admitted[i] = buckets.take(sample)
	}
	return admitted
}

// wrongfulRefusals returns the share of the samples that ideal admits and other refuses.
func wrongfulRefusals(ideal, other []bool) float64 {
	count := 0
	for i := range ideal {
		if ideal[i] && !other[i] {
			count++
		}
	}
	return float64(count) / float64(max(1, len(ideal)))
}

// maxOverRateOf returns admissions.maxOverRate for the admitted samples.
func maxOverRateOf(samples []load.Sample, admitted []bool, limit quota.Limit) float64 {
	a := newAdmissions()
	for i, sample := range samples {
		if admitted[i] {
			a.add("", sample.SentAt)
		}
	}
	return a.maxOverRate("", limit)
}
