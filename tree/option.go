package tree

import (
	"fmt"
	"time"

	"github.com/crocusshore/crocusshore/jsonc"
)

// option describes one setting: how it is decoded, stored in Settings and read from there. A fleetOnly option can only
// be set for the fleet.
type option struct {
	name      string
	fleetOnly bool
	read      func(*jsonc.Value) any
	set       func(*Settings, any)
	get       func(Settings) any
}

const (
	maxRate     = 1e7
	maxWeight   = 1e3
	maxQueue    = 1e6
	maxStewards = 15
)

// options lists every setting that a node can override.
var options = []option{
	number("Rate", 0.1, maxRate, func(s *Settings) *float64 { return &s.Rate }),
	number("Burst", 1, maxRate, func(s *Settings) *float64 { return &s.Burst }),
	number("Weight", 0.01, maxWeight, func(s *Settings) *float64 { return &s.Weight }),
	number("Availability", 0.5, 0.999999, func(s *Settings) *float64 { return &s.Availability }),
	number("LatencyShare", 0.5, 0.999999, func(s *Settings) *float64 { return &s.LatencyShare }),
	duration("LatencyTarget", time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.LatencyTarget }),
	duration("MaxAge", 0, time.Hour, func(s *Settings) *time.Duration { return &s.MaxAge }),
	duration("ReplicaWait", 0, time.Second, func(s *Settings) *time.Duration { return &s.ReplicaWait }),
	duration("Deadline", 10*time.Millisecond, 10*time.Minute, func(s *Settings) *time.Duration { return &s.Deadline }),
	duration("TransactionIdle", 100*time.Millisecond, 10*time.Minute, func(s *Settings) *time.Duration { return &s.TransactionIdle }),
	duration("GracePeriod", 100*time.Millisecond, 10*time.Minute, func(s *Settings) *time.Duration { return &s.GracePeriod }),
	count("QueueLimit", 1, maxQueue, func(s *Settings) *int { return &s.QueueLimit }),
	choice("Class", func(s *Settings) *Class { return &s.Class }, ClassReservation, ClassNormal, ClassBrowsing),
	choice("Acknowledge", func(s *Settings) *Acknowledge { return &s.Acknowledge }, AcknowledgeReplicated, AcknowledgePrimary),
	fleetWide(duration("WriteBound", 200*time.Millisecond, 10*time.Second, func(s *Settings) *time.Duration { return &s.WriteBound })),
	fleetWide(duration("KeyBound", 200*time.Millisecond, 10*time.Second, func(s *Settings) *time.Duration { return &s.KeyBound })),
	fleetWide(duration("StewardTerm", 10*time.Second, time.Hour, func(s *Settings) *time.Duration { return &s.StewardTerm })),
	fleetWide(duration("SuspectAfter", 200*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.SuspectAfter })),
	fleetWide(count("Stewards", 1, maxStewards, func(s *Settings) *int { return &s.Stewards })),
}

// fleetWide marks an option that can only be set for the fleet.
func fleetWide(o option) option {
	o.fleetOnly = true
	return o
}

func number(name string, least, most float64, field func(*Settings) *float64) option {
	return option{
		name: name,
		read: func(v *jsonc.Value) any { return v.Number(least, most) },
		set:  func(s *Settings, value any) { *field(s) = value.(float64) },
		get:  func(s Settings) any { return *field(&s) },
	}
}

func count(name string, least, most float64, field func(*Settings) *int) option {
	return option{
		name: name,
		read: func(v *jsonc.Value) any { return int(v.Number(least, most)) },
		set:  func(s *Settings, value any) { *field(s) = value.(int) },
		get:  func(s Settings) any { return *field(&s) },
	}
}

func duration(name string, least, most time.Duration, field func(*Settings) *time.Duration) option {
	return option{
		name: name,
		read: func(v *jsonc.Value) any { return v.Duration(least, most) },
		set:  func(s *Settings, value any) { *field(s) = value.(time.Duration) },
		get:  func(s Settings) any { return *field(&s) },
	}
}

func choice[T ~string](name string, field func(*Settings) *T, values ...T) option {
	names := make([]string, 0, len(values))
	for _, value := range values {
		names = append(names, string(value))
	}
	return option{
		name: name,
		read: func(v *jsonc.Value) any { return T(v.Choice(names...)) },
		set:  func(s *Settings, value any) { *field(s) = value.(T) },
		get:  func(s Settings) any { return *field(&s) },
	}
}

// formatValue formats the value of a setting for operators.
func formatValue(value any) string {
	return fmt.Sprint(value)
}
