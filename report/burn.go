package report

import "time"

// Level is the urgency of a burn rate.
type Level string

const (
	// LevelOK means that the budget lasts.
	LevelOK Level = "Sound"
	// LevelTicket means that the budget runs out within days; someone should look at it in working hours.
	LevelTicket Level = "Ticket"
	// LevelPage means that the budget runs out within hours; someone should be called.
	LevelPage Level = "Page"

	// Thresholds of the burn rate. A burn rate of 1 uses up the budget in exactly its period of 30 days.
	pageBurnRate   = 14.4
	ticketBurnRate = 6.0

	shortWindow  = 5 * time.Minute
	mediumWindow = 30 * time.Minute
)

// Windows returns the windows over which burn rates are shown.
func Windows() []time.Duration { return []time.Duration{shortWindow, mediumWindow, Retention} }

// Burn holds the burn rates over a window: how many times faster than allowed the budgets are used up.
type Burn struct {
	Window       time.Duration
	Requests     int64
	Availability float64
	Latency      float64
}

// Worst returns the larger of the two burn rates.
func (b Burn) Worst() float64 { return max(b.Availability, b.Latency) }

// BurnOver returns the burn rates over a window that ends now.
func (s Series) BurnOver(now time.Time, window time.Duration) Burn {
	var sum Slot
	from := now.Add(-window)
	for _, slot := range s.Slots {
		if slot.Start.Add(SlotDuration).After(from) && !slot.Start.After(now) {
			sum.Total += slot.Total
			sum.Failed += slot.Failed
			sum.Slow += slot.Slow
		}
	}
	return s.burnFor(window, sum)
}

func (s Series) burnFor(window time.Duration, sum Slot) Burn {
	burn := Burn{Window: window, Requests: sum.Total}
	if sum.Total == 0 {
		return burn
	}
	burn.Availability = float64(sum.Failed) / float64(sum.Total) / (1 - s.Availability)
	if done := sum.Total - sum.Failed; done > 0 {
		burn.Latency = float64(sum.Slow) / float64(done) / (1 - s.LatencyShare)
	}
	return burn
}

// LevelAt returns the urgency of the burn rates. For a level above LevelOK, a burn rate has to reach the threshold over a long window,
// which shows that it matters, and over a short one, which shows that it continues.
func (s Series) LevelAt(now time.Time) Level {
	short := s.BurnOver(now, shortWindow).Worst()
	switch {
	case short >= pageBurnRate && s.BurnOver(now, Retention).Worst() >= pageBurnRate:
		return LevelPage
	case short >= ticketBurnRate && s.BurnOver(now, mediumWindow).Worst() >= ticketBurnRate:
		return LevelTicket
	default:
		return LevelOK
	}
}
