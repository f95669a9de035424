package share

import (
	"math"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// requestReserve is the own demand that a VM wants tokens for, beyond one for a first caller; below half of it, it asks for more.
	requestReserve = 500 * time.Millisecond
	// grantReserve is the own demand that a VM keeps tokens for when it lends.
	grantReserve = 1000 * time.Millisecond
	// minTransferDemand is the demand from which on a VM wants and keeps tokens at all, in operations a second.
	minTransferDemand = 0.05
)

// TokenTransfer is a number of tokens of a team that one VM asks of or gives to another; given tokens are gone where they came from, so
// that the fleet never has more than its rate and burst.
type TokenTransfer struct {
	VM     model.VMID
	Team   model.TeamName
	Tokens float64
}

// TokenRequests returns the tokens that this VM asks others for.
func (l *Limiter) TokenRequests(now time.Time, self model.VMID) []TokenTransfer {
	l.mu.Lock()
	defer l.mu.Unlock()
	var wants []TokenTransfer
	for name, t := range l.teams {
		limits, known := l.config.Team(name)
		demand := t.demand.read(now)
		if !known || demand < minTransferDemand {
			continue
		}
		_, size := l.refill(now, limits, t)
		if t.bucket.tokens >= 1+demand*requestReserve.Seconds()/2 {
			continue
		}
		enough := min(size, 1+demand*requestReserve.Seconds())
		if tokens := math.Ceil(enough - t.bucket.tokens); tokens >= 1 {
			wants = append(wants, TokenTransfer{VM: self, Team: name, Tokens: tokens})
		}
	}
	return wants
}

// GrantTokens takes tokens that this VM does not need soon out of its bucket, with since as for Admit; the result may hold none.
func (l *Limiter) GrantTokens(now time.Time, self model.VMID, ask TokenTransfer, fillFrom time.Time) TokenTransfer {
	l.mu.Lock()
	defer l.mu.Unlock()
	loan := TokenTransfer{VM: self, Team: ask.Team}
	limits, known := l.config.Team(ask.Team)
	if !known {
		return loan
	}
	t := l.team(ask.Team, fillFrom)
	l.refill(now, limits, t)
	spare := t.bucket.tokens
	if demand := t.demand.read(now); demand >= minTransferDemand {
		spare -= 1 + demand*grantReserve.Seconds()
	}
	if lent := math.Floor(min(spare, ask.Tokens)); lent >= 1 {
		t.bucket.tokens -= lent
		loan.Tokens = lent
	}
	return loan
}

// AddTokens adds tokens that another VM lent.
func (l *Limiter) AddTokens(now time.Time, loan TokenTransfer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limits, known := l.config.Team(loan.Team)
	if !known || loan.Tokens <= 0 {
		return
	}
	t := l.team(loan.Team, now)
	_, size := l.refill(now, limits, t)
	t.bucket.tokens = min(size, t.bucket.tokens+loan.Tokens)
}
