package soak

import (
	"fmt"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

type (
	// OrderCounts counts what the promotion service and the instances saw around promotions.
	OrderCounts struct {
		// Orders counts the orders that were taken, and Violations those that broke fencing over all groups.
		Orders, Violations int
		// Turn is the shortest time between two orders in a row of different holders; 0 if there were none.
		Turn time.Duration
		// LateCommits counts the commits that an instance made after a promotion had replaced it, and acknowledged.
		LateCommits OutcomeCounts
		// CutOff counts the commits that an instance acknowledged and a promotion removed.
		CutOff OutcomeCounts
		// Unanswered counts the orders whose senders got no answer within a second, and Waits holds the times from their sending to the next acknowledged
		// write of their group, in ascending order; of several orders in one wait, that of the first.
		Unanswered int
		Waits      []time.Duration
		// Details holds a line for each order, for each commit that a promotion removed, for each unanswered order and for each group that waited.
		Details []string
	}

	// OutcomeCounts counts commits by what their callers were told.
	OutcomeCounts struct{ Acknowledged, Refused, Unknown int }
)

// String returns the counts in one line.
func (c OrderCounts) String() string {
	turn := "no turn"
	if c.Turn > 0 {
		turn = "shortest turn " + c.Turn.Round(time.Millisecond).String()
	}
	waits := "no wait"
	if n := len(c.Waits); n > 0 {
		waits = fmt.Sprintf("waits longest %s, median %s of %d", seconds(c.Waits[n-1]), seconds((c.Waits[(n-1)/2]+c.Waits[n/2])/2), n)
	}
	return fmt.Sprintf("%d orders, %d broke fencing, %s, late commits %s, cut off %s; %d orders unanswered, %s", c.Orders, c.Violations, turn, c.LateCommits,
		c.CutOff, c.Unanswered, waits)
}

// String returns the counts of callers that were told of a success, of an unknown outcome and of a refusal.
func (c OutcomeCounts) String() string {
	return fmt.Sprintf("%d/%d/%d", c.Acknowledged, c.Unknown, c.Refused)
}

func (c *OutcomeCounts) add(told outcome) {
	switch told {
	case outcomeAcked:
		c.Acknowledged++
	case outcomeRefused:
		c.Refused++
	default:
		c.Unknown++
	}
}

// checkOrders reports orders that broke fencing, and commits that were made at a replaced primary and acknowledged to their callers.
func (s *site) checkOrders() {
	for _, violation := range s.orders.Violations() {
		s.history.addViolation("one: %s", violation)
	}
	for _, cluster := range s.clusters {
		for _, late := range cluster.LateCommits() {
			if s.toldOf(late.ID) == outcomeAcked {
				s.history.addViolation("one: %s was committed at %s %s after a promotion had replaced it, and acknowledged to its caller",
					late.ID, late.Instance, late.CommittedAt.Sub(late.PromotedAt).Round(time.Millisecond))
			}
		}
	}
}

// countOrders returns the counts of the report.
func (s *site) countOrders() OrderCounts {
	counts := OrderCounts{Orders: len(s.orders.Records()), Violations: len(s.orders.Violations()), Turn: s.orders.Turn()}
	for _, record := range s.orders.Records() {
		counts.Details = append(counts.Details, "order: "+record.String())
	}
	for _, cluster := range s.clusters {
		for _, late := range cluster.LateCommits() {
			counts.LateCommits.add(s.toldOf(late.ID))
		}
		for _, cut := range cluster.CutOffs() {
			told := s.toldOf(cut.ID)
			counts.CutOff.add(told)
			counts.Details = append(counts.Details, fmt.Sprintf("cut off: %s at %s, told %s, acknowledged by its instance %s, %s promoted %s", cut.ID, cut.Mark,
				told, cut.AckedAt.Format(clockFormat), cut.Promoted, cut.PromotedAt.Format(clockFormat)))
		}
	}
	s.countWaits(&counts)
	return counts
}

// toldOf returns what the caller of a statement that commits was told; outcomeUnknown if nothing.
func (s *site) toldOf(id model.RequestID) outcome {
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	if told, known := s.history.told[id]; known {
		return told
	}
	return outcomeUnknown
}
