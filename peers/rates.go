package peers

import (
	"context"
	"math"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
	"github.com/crocusshore/crocusshore/retry"
	"github.com/crocusshore/crocusshore/share"
	"github.com/crocusshore/crocusshore/world"
)

const (
	// admissionTimeout bounds the wait for an answer of a VM of the own failure domain, which is a fraction of a millisecond away.
	admissionTimeout = 40 * time.Millisecond
	// maxAskedVMs is how many VMs are asked before a VM admits by itself.
	maxAskedVMs = 2
	// unresponsiveSkipTime is how long a VM that did not answer is passed over.
	unresponsiveSkipTime = 500 * time.Millisecond
	// startupWindow is how long after the start of a VM others that start at the same time register.
	startupWindow = 3 * time.Second
	// reportInterval is how often the demand is told to other failure domains.
	reportInterval = time.Second
	// tokenRequestInterval is how often a VM that is low on tokens asks other failure domains.
	tokenRequestInterval = 60 * time.Millisecond
	// maxTokenRequests bounds the teams that one question for tokens names, so that it fits in a datagram.
	maxTokenRequests = 60
)

type (
	// RateLimiterConfig names what rates work with.
	RateLimiterConfig struct {
		Self    model.VMID
		Domain  model.Domain
		Ranks   *world.Rankings
		Limiter *share.Limiter
		// Team returns the limits of a team, and whether it exists.
		Team func(name model.TeamName) (policy.Team, bool)
		Log  *log.Logger
	}

	// RateLimiter admits the operations of teams: in each failure domain one VM admits for a team, and the others ask it.
	RateLimiter struct {
		config    RateLimiterConfig
		started   time.Time
		transport udpTransport
		// fallback admits while no other VM answers.
		fallback *share.Limiter

		mu        sync.Mutex
		lastID    uint64
		pending   map[uint64]chan share.Decision
		skipUntil map[model.VMID]time.Time
	}
)

// NewRateLimiter returns rates that know no other VM yet.
func NewRateLimiter(now time.Time, config RateLimiterConfig) *RateLimiter {
	r := &RateLimiter{config: config, started: now, pending: map[uint64]chan share.Decision{}, skipUntil: map[model.VMID]time.Time{}}
	r.transport = udpTransport{log: config.Log, handle: r.handle}
	r.fallback = share.New(now, share.Config{Weight: func() float64 { return 1 }, Team: config.Team})
	return r
}

// Listen binds the address for datagrams.
func (r *RateLimiter) Listen(address netip.AddrPort) error { return r.transport.listen(address) }

// Run sends and receives until the context ends.
func (r *RateLimiter) Run(ctx context.Context) {
	go r.transport.receive()
	go r.requestTokens(ctx)
	for retry.Sleep(ctx, reportInterval) {
		r.reportDemand(clock.Now())
	}
	if err := r.transport.conn.Close(); err != nil {
		r.config.Log.Debug("datagram socket not closed", "error", err)
	}
}

// Admit tells whether an operation of a team is within its rate.
func (r *RateLimiter) Admit(now time.Time, limits policy.Team) share.Decision {
	ranked := r.config.Ranks.Of(now, r.config.Domain, share.AdmitterRole(limits.Name))
	for _, vm := range ranked[:min(maxAskedVMs, len(ranked))] {
		if vm.Name == r.config.Self {
			return r.admit(now, limits)
		}
		if verdict, ok := r.askAdmission(now, vm, limits.Name); ok {
			return verdict
		}
		now = clock.Now()
	}
	vms, domains := r.config.Ranks.Counts(now, r.config.Domain)
	limits = share.FallbackLimits(limits, domains, vms)
	verdict := r.fallback.Admit(now, limits, share.FirstTokenStart(now, limits, 1))
	verdict.By = r.config.Self
	r.config.Log.Info("admission without the other VMs", "team", limits.Name, "admitted", verdict.Admitted, "part", verdict.Part)
	return verdict
}

// admit decides for this failure domain.
func (r *RateLimiter) admit(now time.Time, limits policy.Team) share.Decision {
	verdict := r.config.Limiter.Admit(now, limits, r.bucketStart(now, limits))
	verdict.By = r.config.Self
	return verdict
}

// bucketStart returns from when on a new bucket of a team fills: since the VMs last changed where this VM comes first for the team, and
// otherwise, where it stands in for the first, only so that it has one token. VMs that start together change nothing.
func (r *RateLimiter) bucketStart(now time.Time, limits policy.Team) time.Time {
	_, domains := r.config.Ranks.Counts(now, r.config.Domain)
	ranked := r.config.Ranks.Of(now, r.config.Domain, share.AdmitterRole(limits.Name))
	if len(ranked) == 0 || ranked[0].Name != r.config.Self {
		return share.FirstTokenStart(now, limits, domains)
	}
	changedAt := r.config.Ranks.ChangedAt(now)
	if changedAt.Sub(r.started) < startupWindow {
		return r.started
	}
	return share.FirstTokenStart(changedAt, limits, domains)
}

// askAdmission asks another VM; false means that it did not answer in time.
func (r *RateLimiter) askAdmission(now time.Time, vm world.VM, team model.TeamName) (share.Decision, bool) {
	answers := make(chan share.Decision, 1)
	r.mu.Lock()
	if now.Before(r.skipUntil[vm.Name]) {
		r.mu.Unlock()
		return share.Decision{}, false
	}
	r.lastID++
	id := r.lastID
	r.pending[id] = answers
	r.mu.Unlock()
	r.transport.send(vm.Gossip, datagram{Ask: &admissionRequest{ID: id, Team: team}})
	timer := time.NewTimer(admissionTimeout)
	defer timer.Stop()
	select {
	case verdict := <-answers:
		return verdict, true
	case <-timer.C:
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pending, id)
	r.skipUntil[vm.Name] = clock.Now().Add(unresponsiveSkipTime)
	return share.Decision{}, false
}

// reportDemand sends the demand to the VMs that admit for the same teams in other failure domains.
func (r *RateLimiter) reportDemand(now time.Time) {
	report := r.config.Limiter.Report(now, r.config.Self)
	reports := map[netip.AddrPort]*share.Report{}
	for team, demand := range report.Demand {
		for _, vm := range r.remoteAdmitters(now, team) {
			if reports[vm.Gossip] == nil {
				reports[vm.Gossip] = &share.Report{VM: r.config.Self, Demand: map[model.TeamName]float64{}}
			}
			reports[vm.Gossip].Demand[team] = demand
		}
	}
	for address, part := range reports {
		r.transport.send(address, datagram{Report: part})
	}
}

// remoteAdmitters returns the VMs that admit for a team in the other failure domains.
func (r *RateLimiter) remoteAdmitters(now time.Time, team model.TeamName) []world.VM {
	var others []world.VM
	for _, domain := range r.config.Ranks.Domains(now) {
		if domain == r.config.Domain {
			continue
		}
		if ranked := r.config.Ranks.Of(now, domain, share.AdmitterRole(team)); len(ranked) > 0 {
			others = append(others, ranked[0])
		}
	}
	return others
}

// requestTokens asks the other failure domains for tokens of the teams that run low.
func (r *RateLimiter) requestTokens(ctx context.Context) {
	for retry.Sleep(ctx, tokenRequestInterval) {
		now := clock.Now()
		wants := map[netip.AddrPort][]share.TokenTransfer{}
		for _, want := range r.config.Limiter.TokenRequests(now, r.config.Self) {
			others := r.remoteAdmitters(now, want.Team)
			// Each VM gets a part of the question, so that the answers are not more than was asked for.
			want.Tokens = max(1, math.Floor(want.Tokens/float64(max(1, len(others)))))
			for _, vm := range others {
				wants[vm.Gossip] = append(wants[vm.Gossip], want)
			}
		}
		for address, asked := range wants {
			r.transport.send(address, datagram{Wants: asked[:min(len(asked), maxTokenRequests)]})
		}
	}
}

func (r *RateLimiter) handle(now time.Time, from netip.AddrPort, message datagram) {
	if message.Ask != nil {
		r.answerAdmission(now, from, *message.Ask)
	}
	if message.Told != nil {
		r.deliverReply(*message.Told)
	}
	if message.Report != nil {
		r.config.Limiter.RecordReport(now, *message.Report)
	}
	if len(message.Wants) > 0 {
		r.grantTokens(now, from, message.Wants)
	}
	for _, loan := range message.Loans {
		r.config.Limiter.AddTokens(now, loan)
	}
}

func (r *RateLimiter) answerAdmission(now time.Time, from netip.AddrPort, question admissionRequest) {
	limits, known := r.config.Team(question.Team)
	if !known {
		return // The settings here are older or newer; the asking VM goes on without this one.
	}
	r.transport.send(from, datagram{Told: &admissionReply{ID: question.ID, Verdict: r.admit(now, limits)}})
}

// deliverReply hands an answer to the operation that waits for it; one that comes too late is dropped.
func (r *RateLimiter) deliverReply(answer admissionReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if waiting, known := r.pending[answer.ID]; known {
		delete(r.pending, answer.ID)
		waiting <- answer.Verdict
	}
}

func (r *RateLimiter) grantTokens(now time.Time, from netip.AddrPort, wants []share.TokenTransfer) {
	var loans []share.TokenTransfer
	for _, want := range wants {
		limits, known := r.config.Team(want.Team)
		if !known {
			continue
		}
		if loan := r.config.Limiter.GrantTokens(now, r.config.Self, want, r.bucketStart(now, limits)); loan.Tokens > 0 {
			loans = append(loans, loan)
		}
	}
	if len(loans) > 0 {
		r.transport.send(from, datagram{Loans: loans})
	}
}
