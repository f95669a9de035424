package share

import (
	"math"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// requestReserve is the time for which a VM wants to hold tokens for its demand, besides one token for a first caller. The VM requests
	// more once its tokens for the demand cover less than half of this time.
	requestReserve = 500 * time.Millisecond
	// grantReserve is the time for which a VM keeps tokens for its own demand when it grants tokens to others, besides one token.
	grantReserve = 1000 * time.Millisecond
	// minTransferDemand is the demand in operations per second below which a VM neither asks for tokens nor keeps any.
	minTransferDemand = 0.05
)

// TokenTransfer is a number of tokens of a team that one VM requests from or grants to another. Granted tokens leave the bucket of the VM
// that grants them and are not paid back, so that all VMs together never hold more than rate and burst allow.
type TokenTransfer struct {
	// VM is the sender: the VM that requests the tokens or, in a grant, the one that grants them.
	VM     model.VMID
	Team   model.TeamName
	Tokens float64
}

// TokenRequests returns the tokens that this VM requests from others.
func (l *Limiter) TokenRequests(now time.Time, self model.VMID) []TokenTransfer {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noteRunning(now)
	var requests []TokenTransfer
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
			requests = append(requests, TokenTransfer{VM: self, Team: name, Tokens: tokens})
		}
	}
	return requests
}

// GrantTokens takes tokens that this VM does not need soon out of its bucket and returns them; they may be none. For start,
// see Admit.
func (l *Limiter) GrantTokens(now time.Time, self model.VMID, request TokenTransfer, start BucketStart) TokenTransfer {
	l.mu.Lock()
	defer l.mu.Unlock()
	grant := TokenTransfer{VM: self, Team: request.Team}
	limits, known := l.config.Team(request.Team)
	if !known {
		return grant
	}
	l.noteRunning(now)
	t := l.team(limits, start)
	l.refill(now, limits, t)
	spare := t.bucket.tokens
	if demand := t.demand.read(now); demand >= minTransferDemand {
		spare -= 1 + demand*grantReserve.Seconds()
	}
	if granted := math.Floor(min(spare, request.Tokens)); granted >= 1 {
		t.bucket.tokens -= granted
		grant.Tokens = granted
	}
	return grant
}

// AddTokens adds tokens that another VM granted, up to the size of the bucket.
func (l *Limiter) AddTokens(now time.Time, grant TokenTransfer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limits, known := l.config.Team(grant.Team)
	if !known || grant.Tokens <= 0 {
		return
	}
	t := l.team(limits, BucketStart{FillFrom: now})
	_, size := l.refill(now, limits, t)
	t.bucket.tokens = min(size, t.bucket.tokens+grant.Tokens)
}
