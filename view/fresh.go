package view

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// Confirmation says that at the instant At no version above Version existed.
type Confirmation struct {
	Version model.Version
	At      time.Time
}

// Freshness keeps the latest instant at which no version above the held one existed.
//
// A held version that grows keeps its instant: a change above the new version comes
// after that instant as well.
type Freshness struct {
	version   model.Version
	at        time.Time
	confirmed bool
}

// Advance records that a higher version is held; it returns false where the version would go back.
func (f *Freshness) Advance(version model.Version) bool {
	if version < f.version {
		return false
	}
	f.version = version
	return true
}

// Confirm takes a confirmation and returns whether it holds for the held version.
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

// Age returns how long ago the held version was known to be the newest, and whether it ever was.
func (f *Freshness) Age(now time.Time) (time.Duration, bool) {
	if !f.confirmed {
		return 0, false
	}
	return now.Sub(f.at), true
}

// ConfirmedWithin tells whether the held version was the newest less than bound ago.
func (f *Freshness) ConfirmedWithin(now time.Time, bound time.Duration) bool {
	age, known := f.Age(now)
	return known && age < bound
}
