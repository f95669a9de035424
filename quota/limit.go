package quota

import "time"

const (
	// maxTokenTTL bounds the time for which a granted token can be spent.
	maxTokenTTL = 200 * time.Millisecond
	// minTokenTTL is the shortest TTL with which grants still reach other VMs in time.
	minTokenTTL = 5 * time.Millisecond
	// reserveShare is the share of the burst that is set aside for tokens that are granted and not yet spent.
	reserveShare = 0.25
	// minReserve is the least number of tokens set aside, so that a grant of a small burst has time to reach its VM.
	minReserve = 1.0
	// maxParts bounds the holders of a bucket; if one of several fails, the others still grant tokens.
	maxParts = 3
	// minPartBurst is the least burst of a part, unless the bucket is not split.
	minPartBurst = 8.0
)

// Limit is a rate in requests a second and a burst in requests.
type Limit struct {
	Rate  float64
	Burst float64
}

// MinBurst returns the smallest burst with which the tokens of a rate can be granted over the network.
func MinBurst(rate float64) float64 {
	return max(1+minReserve, rate*minTokenTTL.Seconds()/reserveShare)
}

// TokenTTL returns how long after its request a granted token can be spent.
func (l Limit) TokenTTL() time.Duration {
	reserve := max(l.Burst*reserveShare, min(minReserve, l.Burst-1))
	return min(maxTokenTTL, time.Duration(reserve/l.Rate*float64(time.Second)))
}

// Capacity returns how many tokens a bucket can hold; it is below the burst, so that tokens that are spent late stay within the burst.
func (l Limit) Capacity() float64 {
	return l.Burst - l.Rate*l.TokenTTL().Seconds()
}

// Parts returns into how many equal parts a limit is split.
func (l Limit) Parts() int {
	return max(1, min(maxParts, int(l.Burst/minPartBurst)))
}

// Part returns the limit of one part.
func (l Limit) Part() Limit {
	parts := float64(l.Parts())
	return Limit{Rate: l.Rate / parts, Burst: l.Burst / parts}
}
