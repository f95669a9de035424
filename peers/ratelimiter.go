package peers

import (
	"context"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/memory"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
	"github.com/crocusshore/crocusshore/retry"
	"github.com/crocusshore/crocusshore/share"
	"github.com/crocusshore/crocusshore/state"
)

const (
	// admissionTimeout bounds the wait for an answer from a VM of the same failure domain, which is a fraction of a millisecond away.
	admissionTimeout = 40 * time.Millisecond
	// maxAskedVMs is how many VMs are asked before a VM decides by itself.
	maxAskedVMs = 2
	// unresponsiveSkipTime is how long a VM that did not answer is skipped.
	unresponsiveSkipTime = 500 * time.Millisecond
	// startupWindow is the time after the start of a VM during which others that started at the same time may still register.
	startupWindow = 3 * time.Second
	// reportInterval is the interval at which the demand is reported to other failure domains.
	reportInterval = time.Second
	// tokenRequestInterval is the interval at which a VM that is low on tokens requests some from other failure domains.
	tokenRequestInterval = 60 * time.Millisecond
	// maxTokenRequests bounds the teams in one request for tokens, so that it fits in a datagram.
	maxTokenRequests = 60
)

type (
	// RateLimiterConfig configures a RateLimiter.
	RateLimiterConfig struct {
		Self     model.VMID
		Domain   model.Domain
		Rankings *state.Rankings
		Limiter  *share.Limiter
		// Team returns the limits of a team, and whether it exists.
		Team func(name model.TeamName) (policy.Team, bool)
		Log  *log.Logger
		// Metrics receives the counters of probes; nil for none.
		Metrics tally.Scope
		// Counts, if set, counts datagrams that cannot be decoded.
		Counts *memory.Counts
	}

	// RateLimiter admits the operations of teams. In each failure domain one VM decides for a team, and the others ask it.
	RateLimiter struct {
		config    RateLimiterConfig
		started   time.Time
		transport udpTransport
		prober    *Prober
		// fallback decides while no other VM answers.
		fallback *share.Limiter

		mu     sync.Mutex
		lastID uint64
		// pending holds the operations that wait for an answer, by the ID of the request.
		pending map[uint64]chan share.Decision
		// wanted holds the requests for tokens that are not granted yet, by their ID.
		wanted map[uint64]tokenRequest
		// skipUntil holds until when a VM that did not answer is skipped.
		skipUntil map[model.VMID]time.Time
	}
)

// NewRateLimiter returns a rate limiter that does not listen or run yet.
func NewRateLimiter(now time.Time, config RateLimiterConfig) *RateLimiter {
	r := &RateLimiter{
		config: config, started: now,
		pending: map[uint64]chan share.Decision{}, wanted: map[uint64]tokenRequest{}, skipUntil: map[model.VMID]time.Time{},
	}
	// Answers to an earlier process at this address may still arrive.
	r.lastID = rand.Uint64()
	r.transport = udpTransport{log: config.Log, counts: config.Counts, handle: r.handle}
	if config.Metrics == nil {
		config.Metrics = tally.NoopScope
	}
	r.prober = newProber(&r.transport, config.Metrics)
	r.fallback = share.New(now, share.Config{Weight: func() float64 { return 1 }, Team: config.Team})
	return r
}

// Listen binds the address for datagrams.
func (r *RateLimiter) Listen(address netip.AddrPort) error { return r.transport.listen(address) }

// Prober returns the prober that uses the address for datagrams.
func (r *RateLimiter) Prober() *Prober { return r.prober }

// Run sends and receives datagrams until the context ends.
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

// Admit decides whether an operation of a team is within its rate.
func (r *RateLimiter) Admit(now time.Time, limits policy.Team) share.Decision {
	ranked := r.config.Rankings.Of(now, r.config.Domain, share.AdmitterRole(limits.Name))
	for _, vm := range ranked[:min(maxAskedVMs, len(ranked))] {
		if vm.Name == r.config.Self {
			return r.admit(now, limits)
		}
		if decision, ok := r.askAdmission(now, vm, limits.Name); ok {
			return decision
		}
		now = clock.Now()
	}
	vms, domains := r.config.Rankings.Counts(now, r.config.Domain)
	limits = share.FallbackLimits(limits, domains, vms)
	decision := r.fallback.Admit(now, limits, share.BucketStart{FillFrom: share.FirstTokenStart(now, limits, 1)})
	decision.By = r.config.Self
	r.config.Log.Info("admission decided without other VMs", "team", limits.Name, "admitted", decision.Admitted, "part", decision.Part)
	return decision
}

// admit decides for this failure domain.
func (r *RateLimiter) admit(now time.Time, limits policy.Team) share.Decision {
	decision := r.config.Limiter.Admit(now, limits, r.bucketStart(now, limits))
	decision.By = r.config.Self
	return decision
}

// bucketStart returns how a new bucket of a team begins. If this VM stands in for the VM that ranks first for the team, the bucket has one
// token now. If this VM ranks first itself, the bucket had one token when the set of VMs last changed. A change within startupWindow of this
// VM's start is what it learned or caused by its start; then the bucket begins as after a start and fills from that instant.
func (r *RateLimiter) bucketStart(now time.Time, limits policy.Team) share.BucketStart {
	_, domains := r.config.Rankings.Counts(now, r.config.Domain)
	ranked := r.config.Rankings.Of(now, r.config.Domain, share.AdmitterRole(limits.Name))
	if len(ranked) == 0 || ranked[0].Name != r.config.Self {
		return share.StandInStart(now, limits, domains)
	}
	changedAt := r.config.Rankings.ChangedAt(now)
	if changedAt.Sub(r.started) < startupWindow {
		return share.BucketStart{FillFrom: r.started, AfterStart: true}
	}
	return share.BucketStart{FillFrom: share.FirstTokenStart(changedAt, limits, domains)}
}

// askAdmission requests a decision from another VM. It returns false if the VM does not answer within admissionTimeout, or did not do so
// within the last unresponsiveSkipTime.
func (r *RateLimiter) askAdmission(now time.Time, vm state.VM, team model.TeamName) (share.Decision, bool) {
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
	case decision := <-answers:
		return decision, true
	case <-timer.C:
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pending, id)
	r.skipUntil[vm.Name] = clock.Now().Add(unresponsiveSkipTime)
	return share.Decision{}, false
}

// reportDemand reports the demand to the VMs that admit for the same teams in other failure domains.
func (r *RateLimiter) reportDemand(now time.Time) {
	report := r.config.Limiter.Report(now, r.config.Self)
	reports := map[netip.AddrPort]*share.Report{}
	for team, demand := range report.Demand {
		for _, vm := range r.remoteAdmitters(now, team) {
			if reports[vm.Gossip] == nil {
				part := report
				part.Demand = map[model.TeamName]float64{}
				reports[vm.Gossip] = &part
			}
			reports[vm.Gossip].Demand[team] = demand
		}
	}
	for address, part := range reports {
		r.transport.send(address, datagram{Report: part})
	}
}

// answerReport reports the demand for those teams in a report that this VM's own reports to its sender leave out: teams without demand here,
// and teams for which the sender admits in place of another VM. Without an answer the sender takes no more than its even share.
func (r *RateLimiter) answerReport(now time.Time, from netip.AddrPort, report share.Report) {
	var left []model.TeamName
	for team := range report.Demand {
		own := r.config.Limiter.ReportFor(r.config.Self, []model.TeamName{team}).Demand[team]
		ranksFirst := slices.ContainsFunc(r.remoteAdmitters(now, team), func(vm state.VM) bool { return vm.Name == report.VM })
		if own == 0 || !ranksFirst {
			left = append(left, team)
		}
	}
	if len(left) > 0 {
		answer := r.config.Limiter.ReportFor(r.config.Self, left)
		r.transport.send(from, datagram{Reported: &answer})
	}
}

// remoteAdmitters returns the VMs that admit for a team in the other failure domains.
func (r *RateLimiter) remoteAdmitters(now time.Time, team model.TeamName) []state.VM {
	var others []state.VM
	for _, domain := range r.config.Rankings.Domains(now) {
		if domain == r.config.Domain {
			continue
		}
		if ranked := r.config.Rankings.Of(now, domain, share.AdmitterRole(team)); len(ranked) > 0 {
			others = append(others, ranked[0])
		}
	}
	return others
}

// requestTokens requests tokens from other failure domains for the teams that run low, until the context ends.
func (r *RateLimiter) requestTokens(ctx context.Context) {
	for retry.Sleep(ctx, tokenRequestInterval) {
		now := clock.Now()
		r.config.Limiter.NoteRunning(now)
		r.fallback.NoteRunning(now)
		requests := map[netip.AddrPort][]share.TokenTransfer{}
		for _, request := range r.config.Limiter.TokenRequests(now, r.config.Self) {
			others := r.remoteAdmitters(now, request.Team)
			// Each VM is asked for a part, so that the answers together are not more than was requested.
			request.Tokens = max(1, math.Floor(request.Tokens/float64(max(1, len(others)))))
			for _, vm := range others {
				requests[vm.Gossip] = append(requests[vm.Gossip], request)
			}
		}
		for address, list := range requests {
			r.transport.send(address, datagram{Wants: list[:min(len(list), maxTokenRequests)], WantsID: r.expectTokens(now, address)})
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
		r.answerReport(now, from, *message.Report)
	}
	if message.Reported != nil {
		r.config.Limiter.RecordReport(now, *message.Reported)
	}
	if len(message.Wants) > 0 {
		r.grantTokens(now, from, message)
	}
	if message.Probe != nil {
		r.transport.send(from, datagram{Probed: message.Probe})
	}
	if message.Probed != nil {
		r.prober.receive(now, from, *message.Probed)
	}
	if len(message.Loans) > 0 && r.takeExpected(now, from, message.LoansFor) {
		for _, grant := range message.Loans {
			r.config.Limiter.AddTokens(now, grant)
		}
	}
}

func (r *RateLimiter) answerAdmission(now time.Time, from netip.AddrPort, request admissionRequest) {
	limits, known := r.config.Team(request.Team)
	if !known {
		return // The settings here are older or newer; the requesting VM continues without this one.
	}
	r.transport.send(from, datagram{Told: &admissionReply{ID: request.ID, Verdict: r.admit(now, limits)}})
}

// deliverReply delivers an answer to the operation that waits for it; a late answer is dropped.
func (r *RateLimiter) deliverReply(answer admissionReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if waiting, known := r.pending[answer.ID]; known {
		delete(r.pending, answer.ID)
		waiting <- answer.Verdict
	}
}

func (r *RateLimiter) grantTokens(now time.Time, from netip.AddrPort, message datagram) {
	var grants []share.TokenTransfer
	for _, request := range message.Wants {
		limits, known := r.config.Team(request.Team)
		if !known {
			continue
		}
		if grant := r.config.Limiter.GrantTokens(now, r.config.Self, request, r.bucketStart(now, limits)); grant.Tokens > 0 {
			grants = append(grants, grant)
		}
	}
	if len(grants) > 0 {
		r.transport.send(from, datagram{Loans: grants, LoansFor: message.WantsID})
	}
}
