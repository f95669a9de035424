package share

import (
	"math"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// wantTime is the own demand that a VM wants tokens for, beyond one for a first caller; below half of it, it asks for more.
	wantTime = 500 * time.Millisecond
	// keepTime is the own demand that a VM keeps tokens for when it lends.
	keepTime = 1000 * time.Millisecond
	// recentDemand is the demand from which on a VM wants and keeps tokens at all, in operations a second.
	recentDemand = 0.05
)

// Loan is a number of tokens of a team that one VM asks of or gives to another; given tokens are gone where they came from, so
// that the fleet never has more than its rate and burst.
type Loan struct {
	VM     model.VMID
	Team   model.TeamName
	Tokens float64
}

// Wants returns the tokens that this VM asks others for.
func (l *Limiter) Wants(now time.Time, self model.VMID) []Loan {
	l.mu.Lock()
	defer l.mu.Unlock()
	var wants []Loan
	for name, t := range l.teams {
		limits, known := l.config.Team(name)
		demand := t.demand.read(now)
		if !known || demand < recentDemand {
			continue
		}
		_, size := l.refill(now, limits, t)
		if t.bucket.tokens >= 1+demand*wantTime.Seconds()/2 {
			continue
		}
		enough := min(size, 1+demand*wantTime.Seconds())
		if tokens := math.Ceil(enough - t.bucket.tokens); tokens >= 1 {
			wants = append(wants, Loan{VM: self, Team: name, Tokens: tokens})
		}
	}
	return wants
}

// Lend takes tokens that this VM does not need soon out of its bucket, with since as for Admit; the result may hold none.
func (l *Limiter) Lend(now time.Time, self model.VMID, ask Loan, since time.Time) Loan {
	l.mu.Lock()
	defer l.mu.Unlock()
	loan := Loan{VM: self, Team: ask.Team}
	limits, known := l.config.Team(ask.Team)
	if !known {
		return loan
	}
	t := l.team(ask.Team, since)
	l.refill(now, limits, t)
	spare := t.bucket.tokens
	if demand := t.demand.read(now); demand >= recentDemand {
		spare -= 1 + demand*keepTime.Seconds()
	}
	if lent := math.Floor(min(spare, ask.Tokens)); lent >= 1 {
		t.bucket.tokens -= lent
		loan.Tokens = lent
	}
	return loan
}

// Receive adds tokens that another VM lent.
func (l *Limiter) Receive(now time.Time, loan Loan) {
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
