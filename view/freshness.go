package view

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// Confirmation states that at the instant At no version above Version existed.
type Confirmation struct {
	Version model.Version
	At      time.Time
}

// Freshness holds the latest instant for which it is confirmed that no version above the held one existed.
//
// Advancing the version keeps the instant: a change above the new version is above the old one too, so it came after the instant.
type Freshness struct {
	version   model.Version
	at        time.Time
	confirmed bool
}

// Advance records the version that is held now; it returns false and changes nothing if that version is lower.
func (f *Freshness) Advance(version model.Version) bool {
	if version < f.version {
		return false
	}
	f.version = version
	return true
}

// Confirm records a confirmation and reports whether it covers the held version; one of a higher version does not.
func (f *Freshness) Confirm(c Confirmation) bool {
	if c.Version > f.version {
		return false
	}
	if !f.confirmed || c.At.After(f.at) {
		f.at = c.At
		f.confirmed = true
	}
	return true
}

// Age returns the time since the latest instant at which the held version was confirmed as the newest, and whether there is one.
func (f *Freshness) Age(now time.Time) (time.Duration, bool) {
	if !f.confirmed {
		return 0, false
	}
	return now.Sub(f.at), true
}

// ConfirmedWithin reports whether the held version was certainly the newest at an instant less than bound ago.
func (f *Freshness) ConfirmedWithin(now time.Time, bound time.Duration) bool {
	age, known := f.Age(now)
	return known && age < bound
}
