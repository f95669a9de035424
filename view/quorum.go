package view

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// Attestation is the answer of a steward about the newest version it was told of.
type Attestation struct {
	Boot    model.BootID
	Version model.Version
	// Serving is false once the steward's own confirmation from the store is too old.
	Serving bool
	// SentAt is when the question was sent, on the clock of the VM that asked.
	SentAt time.Time
}

// Steward decides for one VM what it may attest.
type Steward struct {
	boot        model.BootID
	confirmedAt time.Time
	confirmed   bool
}

// NewSteward returns the steward part of a process.
func NewSteward(boot model.BootID) *Steward {
	return &Steward{boot: boot}
}

// Confirm records that the store confirmed the newest version, asked at the given instant.
func (s *Steward) Confirm(at time.Time) {
	if !s.confirmed || at.After(s.confirmedAt) {
		s.confirmedAt = at
		s.confirmed = true
	}
}

// Attest returns what the steward says while it holds a version.
func (s *Steward) Attest(now time.Time, held model.Version, term time.Duration) Attestation {
	return Attestation{Boot: s.boot, Version: held, Serving: s.confirmed && now.Sub(s.confirmedAt) < term}
}

// ConfirmByStewards returns the confirmation that a majority of the current stewards gives for a held version.
func ConfirmByStewards(stewards Stewards, held model.Version, answers []Attestation) (Confirmation, bool) {
	if len(stewards.Current) == 0 {
		return Confirmation{}, false
	}
	count := 0
	earliest := time.Time{}
	for _, member := range stewards.Current {
		answer, ok := find(answers, member.Boot)
		if !ok || !answer.Serving || answer.Version > held {
			continue
		}
		if count == 0 || answer.SentAt.Before(earliest) {
			earliest = answer.SentAt
		}
		count++
	}
	if count < majority(len(stewards.Current)) {
		return Confirmation{}, false
	}
	return Confirmation{Version: held, At: earliest}, true
}

func find(answers []Attestation, boot model.BootID) (Attestation, bool) {
	for _, answer := range answers {
		if answer.Boot == boot {
			return answer, true
		}
	}
	return Attestation{}, false
}

func majority(n int) int { return n/2 + 1 }
