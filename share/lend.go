package share

import (
	"math"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// askBelow is the share of its size below which a bucket asks other VMs for tokens.
	askBelow = 0.5
	// keepTime is the own demand that a VM keeps tokens for when it lends.
	keepTime = 1500 * time.Millisecond
	// recentDemand is the demand from which on a VM asks at all, in operations a second.
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
		if !known || t.demand.read(now) < recentDemand {
			continue
		}
		_, size := l.refill(now, limits, t)
		if t.bucket.tokens < askBelow*size {
			wants = append(wants, Loan{VM: self, Team: name, Tokens: math.Floor(size - t.bucket.tokens)})
		}
	}
	return wants
}

// Lend takes tokens that this VM does not need soon out of its bucket; the result may hold none.
func (l *Limiter) Lend(now time.Time, self model.VMID, ask Loan) Loan {
	l.mu.Lock()
	defer l.mu.Unlock()
	loan := Loan{VM: self, Team: ask.Team}
	limits, known := l.config.Team(ask.Team)
	if !known {
		return loan
	}
	t := l.team(ask.Team)
	l.refill(now, limits, t)
	spare := t.bucket.tokens - t.demand.read(now)*keepTime.Seconds()
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
	t := l.team(loan.Team)
	_, size := l.refill(now, limits, t)
	t.bucket.tokens = min(size, t.bucket.tokens+loan.Tokens)
}
