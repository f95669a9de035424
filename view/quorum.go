package view

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// Attestation is the answer of a steward that is asked which version it holds.
type Attestation struct {
	Boot    model.BootID
	Version model.Version
	// Serving is false once the store's last confirmation to the steward is too old (see Steward.Attest), or if there is none.
	Serving bool
	// SentAt is when the request was sent, on the clock of the VM that sent it.
	SentAt time.Time
}

// Steward decides what one process may attest as a steward.
type Steward struct {
	boot        model.BootID
	confirmedAt time.Time
	confirmed   bool
}

// NewSteward returns the steward of a process, which the store has not confirmed yet.
func NewSteward(boot model.BootID) *Steward {
	return &Steward{boot: boot}
}

// Confirm records that the store confirmed the newest version in answer to a request sent at the given instant.
func (s *Steward) Confirm(at time.Time) {
	if !s.confirmed || at.After(s.confirmedAt) {
		s.confirmedAt = at
		s.confirmed = true
	}
}

// Attest returns the attestation for the held version. The attestation is serving if the store's last confirmation is younger than term. For
// the process itself it counts as asked for at now; a VM that asks another process sets the instant at which it sent the request.
func (s *Steward) Attest(now time.Time, held model.Version, term time.Duration) Attestation {
	return Attestation{Boot: s.boot, Version: held, Serving: s.confirmed && now.Sub(s.confirmedAt) < term, SentAt: now}
}

// ConfirmByStewards returns the confirmation of a held version that a majority of the current stewards gives, and whether there is one.
// Its instant is when the first of the requests to the confirming stewards was sent.
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
