package stand

import (
	"math/rand/v2"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// answerFaultStream is the second half of the seed of a cluster's random source; the first is ClusterConfig.Seed.
const answerFaultStream = 39

// AnswerFaults describes what an instance does to its answers; the zero value sends each once, whole and at once. Each share is between 0 and 1
// and is drawn for each answer, or statement, from the random source of the cluster.
type AnswerFaults struct {
	// Repeated is the share of answers that are sent a second time, at most RepeatWithin after the first.
	Repeated     float64
	RepeatWithin time.Duration
	// Cut is the share of answers that end in their middle, with the connection.
	Cut float64
	// Delayed is the share of answers that are sent late, by at most DelayWithin.
	Delayed     float64
	DelayWithin time.Duration
	// RefusedSets is the share of SET and PREPARE statements that are refused with model.FaultFailed and not carried out.
	RefusedSets float64
}

func newAnswerRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, answerFaultStream)) }

// PlanAnswer draws how the next answer is sent. The connection itself returns answers to its caller as they are: the plan is for the one who
// sends them, such as platform.ServeInstanceConn.
func (c *clusterConn) PlanAnswer() model.AnswerPlan {
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	faults, random := c.database.faults.Answers, c.cluster.random
	var plan model.AnswerPlan
	if drawn(random, faults.Delayed) {
		plan.Delay = drawnDuration(random, faults.DelayWithin)
	}
	if drawn(random, faults.Cut) {
		plan.Cut = true
		return plan
	}
	if drawn(random, faults.Repeated) {
		plan.Repeat, plan.RepeatAfter = true, drawnDuration(random, faults.RepeatWithin)
	}
	return plan
}

// drawn reports whether an event with this share happens. Nothing is drawn for a share of 0.
func drawn(random *rand.Rand, share float64) bool { return share > 0 && random.Float64() < share }

// drawnDuration returns a duration from 0 to the longest.
func drawnDuration(random *rand.Rand, longest time.Duration) time.Duration {
	if longest <= 0 {
		return 0
	}
	return time.Duration(random.Int64N(int64(longest) + 1))
}
