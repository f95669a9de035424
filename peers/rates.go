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
	// askTimeout bounds the wait for an answer of a VM of the own failure domain, which is a fraction of a millisecond away.
	askTimeout = 40 * time.Millisecond
	// askedVMs is how many VMs are asked before a VM admits by itself.
	askedVMs = 2
	// silentTime is how long a VM that did not answer is passed over.
	silentTime = 500 * time.Millisecond
	// bootTime is how long after the start of a VM others that start at the same time register.
	bootTime = 3 * time.Second
	// tellPause is how often the demand is told to other failure domains.
	tellPause = time.Second
	// lendPause is how often a VM that is low on tokens asks other failure domains.
	lendPause = 60 * time.Millisecond
	// maxWants bounds the teams that one question for tokens names, so that it fits in a datagram.
	maxWants = 60
)

type (
	// RatesConfig names what rates work with.
	RatesConfig struct {
		Self    model.VMID
		Domain  model.Domain
		Ranks   *world.Ranks
		Limiter *share.Limiter
		// Team returns the limits of a team, and whether it exists.
		Team func(name model.TeamName) (policy.Team, bool)
		Log  *log.Logger
	}

	// Rates admits the operations of teams: in each failure domain one VM admits for a team, and the others ask it.
	Rates struct {
		config  RatesConfig
		started time.Time
		gossip  gossip
		// alone admits while no other VM answers.
		alone *share.Limiter

		mu      sync.Mutex
		lastID  uint64
		pending map[uint64]chan share.Verdict
		silent  map[model.VMID]time.Time
	}
)

// NewRates returns rates that know no other VM yet.
func NewRates(now time.Time, config RatesConfig) *Rates {
	r := &Rates{config: config, started: now, pending: map[uint64]chan share.Verdict{}, silent: map[model.VMID]time.Time{}}
	r.gossip = gossip{log: config.Log, handle: r.handle}
	r.alone = share.New(now, share.Config{Weight: func() float64 { return 1 }, Team: config.Team})
	return r
}

// Listen binds the address for datagrams.
func (r *Rates) Listen(address netip.AddrPort) error { return r.gossip.listen(address) }

// Run sends and receives until the context ends.
func (r *Rates) Run(ctx context.Context) {
	go r.gossip.receive()
	go r.borrow(ctx)
	for retry.Sleep(ctx, tellPause) {
		r.tell(clock.Now())
	}
	if err := r.gossip.conn.Close(); err != nil {
		r.config.Log.Debug("datagram socket not closed", "error", err)
	}
}

// Admit tells whether an operation of a team is within its rate.
func (r *Rates) Admit(now time.Time, limits policy.Team) share.Verdict {
	ranked := r.config.Ranks.Of(now, r.config.Domain, share.Duty(limits.Name))
	for _, vm := range ranked[:min(askedVMs, len(ranked))] {
		if vm.Name == r.config.Self {
			return r.admit(now, limits)
		}
		if verdict, ok := r.ask(now, vm, limits.Name); ok {
			return verdict
		}
		now = clock.Now()
	}
	vms, domains := r.config.Ranks.Size(now, r.config.Domain)
	limits = share.Fallback(limits, domains, vms)
	verdict := r.alone.Admit(now, limits, share.FirstToken(now, limits, 1))
	verdict.By = r.config.Self
	r.config.Log.Info("admission without the other VMs", "team", limits.Name, "admitted", verdict.Admitted, "part", verdict.Part)
	return verdict
}

// admit decides for this failure domain.
func (r *Rates) admit(now time.Time, limits policy.Team) share.Verdict {
	verdict := r.config.Limiter.Admit(now, limits, r.since(now, limits))
	verdict.By = r.config.Self
	return verdict
}

// since returns from when on a new bucket of a team fills: since the VMs last changed where this VM comes first for the team, and
// otherwise, where it stands in for the first, only so that it has one token. VMs that start together change nothing.
func (r *Rates) since(now time.Time, limits policy.Team) time.Time {
	_, domains := r.config.Ranks.Size(now, r.config.Domain)
	ranked := r.config.Ranks.Of(now, r.config.Domain, share.Duty(limits.Name))
	if len(ranked) == 0 || ranked[0].Name != r.config.Self {
		return share.FirstToken(now, limits, domains)
	}
	changedAt := r.config.Ranks.ChangedAt(now)
	if changedAt.Sub(r.started) < bootTime {
		return r.started
	}
	return share.FirstToken(changedAt, limits, domains)
}

// ask asks another VM; false means that it did not answer in time.
func (r *Rates) ask(now time.Time, vm world.VM, team model.TeamName) (share.Verdict, bool) {
	answers := make(chan share.Verdict, 1)
	r.mu.Lock()
	if now.Before(r.silent[vm.Name]) {
		r.mu.Unlock()
		return share.Verdict{}, false
	}
	r.lastID++
	id := r.lastID
	r.pending[id] = answers
	r.mu.Unlock()
	r.gossip.send(vm.Gossip, datagram{Ask: &admission{ID: id, Team: team}})
	timer := time.NewTimer(askTimeout)
	defer timer.Stop()
	select {
	case verdict := <-answers:
		return verdict, true
	case <-timer.C:
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pending, id)
	r.silent[vm.Name] = clock.Now().Add(silentTime)
	return share.Verdict{}, false
}

// tell sends the demand to the VMs that admit for the same teams in other failure domains.
func (r *Rates) tell(now time.Time) {
	report := r.config.Limiter.Report(now, r.config.Self)
	told := map[netip.AddrPort]*share.Report{}
	for team, demand := range report.Demand {
		for _, vm := range r.others(now, team) {
			if told[vm.Gossip] == nil {
				told[vm.Gossip] = &share.Report{VM: r.config.Self, Demand: map[model.TeamName]float64{}}
			}
			told[vm.Gossip].Demand[team] = demand
		}
	}
	for address, part := range told {
		r.gossip.send(address, datagram{Report: part})
	}
}

// others returns the VMs that admit for a team in the other failure domains.
func (r *Rates) others(now time.Time, team model.TeamName) []world.VM {
	var others []world.VM
	for _, domain := range r.config.Ranks.Domains(now) {
		if domain == r.config.Domain {
			continue
		}
		if ranked := r.config.Ranks.Of(now, domain, share.Duty(team)); len(ranked) > 0 {
			others = append(others, ranked[0])
		}
	}
	return others
}

// borrow asks the other failure domains for tokens of the teams that run low.
func (r *Rates) borrow(ctx context.Context) {
	for retry.Sleep(ctx, lendPause) {
		now := clock.Now()
		wants := map[netip.AddrPort][]share.Loan{}
		for _, want := range r.config.Limiter.Wants(now, r.config.Self) {
			others := r.others(now, want.Team)
			// Each VM gets a part of the question, so that the answers are not more than was asked for.
			want.Tokens = max(1, math.Floor(want.Tokens/float64(max(1, len(others)))))
			for _, vm := range others {
				wants[vm.Gossip] = append(wants[vm.Gossip], want)
			}
		}
		for address, asked := range wants {
			r.gossip.send(address, datagram{Wants: asked[:min(len(asked), maxWants)]})
		}
	}
}

func (r *Rates) handle(now time.Time, from netip.AddrPort, message datagram) {
	if message.Ask != nil {
		r.answer(now, from, *message.Ask)
	}
	if message.Told != nil {
		r.settle(*message.Told)
	}
	if message.Report != nil {
		r.config.Limiter.Hear(now, *message.Report)
	}
	if len(message.Wants) > 0 {
		r.lend(now, from, message.Wants)
	}
	for _, loan := range message.Loans {
		r.config.Limiter.Receive(now, loan)
	}
}

func (r *Rates) answer(now time.Time, from netip.AddrPort, question admission) {
	limits, known := r.config.Team(question.Team)
	if !known {
		return // The settings here are older or newer; the asking VM goes on without this one.
	}
	r.gossip.send(from, datagram{Told: &admitted{ID: question.ID, Verdict: r.admit(now, limits)}})
}

// settle hands an answer to the operation that waits for it; one that comes too late is dropped.
func (r *Rates) settle(answer admitted) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if waiting, known := r.pending[answer.ID]; known {
		delete(r.pending, answer.ID)
		waiting <- answer.Verdict
	}
}

func (r *Rates) lend(now time.Time, from netip.AddrPort, wants []share.Loan) {
	var loans []share.Loan
	for _, want := range wants {
		limits, known := r.config.Team(want.Team)
		if !known {
			continue
		}
		if loan := r.config.Limiter.Lend(now, r.config.Self, want, r.since(now, limits)); loan.Tokens > 0 {
			loans = append(loans, loan)
		}
	}
	if len(loans) > 0 {
		r.gossip.send(from, datagram{Loans: loans})
	}
}
