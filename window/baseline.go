package window

import "time"

const (
	// meanSmoothing is the weight of one answer in the present mean.
	meanSmoothing = 0.1
	// fallShare is the part of its distance to a lower present mean by which a baseline falls with each answer.
	fallShare = 0.2
	// risePeriod is how long a baseline takes to follow a higher mean: longer than a burst of load, during which all statements are slow.
	risePeriod = 60 * time.Second
	// maxOutlier bounds the effect of one answer on the mean, as a multiple of it.
	maxOutlier = 4
)

// Baseline estimates how long statements of one kind take at instances that have no queue. It is not safe for concurrent use.
type Baseline struct {
	mean, lowest time.Duration
	updatedAt    time.Time
}

// Usual returns the estimate, 0 if there is none yet.
func (b *Baseline) Usual() time.Duration { return b.lowest }

// Record adds the time that an answer took.
func (b *Baseline) Record(now time.Time, took time.Duration) {
	if b.mean == 0 {
		b.mean, b.lowest, b.updatedAt = took, took, now
		return
	}
	b.mean += time.Duration(meanSmoothing * float64(min(took, maxOutlier*b.mean)-b.mean))
	if b.mean < b.lowest {
		b.lowest += time.Duration(fallShare * float64(b.mean-b.lowest))
	} else {
		share := min(1, now.Sub(b.updatedAt).Seconds()/risePeriod.Seconds())
		b.lowest += time.Duration(share * float64(b.mean-b.lowest))
	}
	b.updatedAt = now
}
