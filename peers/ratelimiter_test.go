package peers

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
	"github.com/crocusshore/crocusshore/share"
	"github.com/crocusshore/crocusshore/state"
)

var limits = policy.Team{Name: "team", Rate: 30, Burst: 60}

var lastAddress atomic.Int64

// admitters is a set of VMs that admit for each other over loopback.
type admitters struct {
	vms      []state.VM
	limiters map[model.VMID]*RateLimiter
	stop     map[model.VMID]context.CancelFunc
}

// startAdmitters starts VMs in failure domains of the given sizes; the names consist of domain and number.
func startAdmitters(t *testing.T, sizes ...int) *admitters {
	t.Helper()
	f := &admitters{limiters: map[model.VMID]*RateLimiter{}, stop: map[model.VMID]context.CancelFunc{}}
	for domain, size := range sizes {
		for i := range size {
			n := lastAddress.Add(1)
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(60 + os.Getpid()%60), byte(n / 250), byte(1 + n%250)}), 7000)
			f.vms = append(f.vms, state.VM{Name: model.VMID(fmt.Sprintf("%d-%d", domain, i)), Domain: model.Domain(fmt.Sprint(domain)), Gossip: address})
		}
	}
	for _, vm := range f.vms {
		f.start(t, vm, len(sizes))
	}
	return f
}

func (f *admitters) start(t *testing.T, vm state.VM, domains int) {
	t.Helper()
	cache := state.New(state.Config{VM: vm.Name})
	var rows []model.StoredRow
	for _, other := range f.vms {
		row, err := other.Row()
		require.NoError(t, err)
		row.Version = 1
		rows = append(rows, row)
	}
	now := clock.Now()
	require.NoError(t, cache.ApplyRows(1, true, rows, now))
	team := func(name model.TeamName) (policy.Team, bool) { return limits, name == limits.Name }
	// The limiter has run for a while, so that its buckets are full.
	limiter := share.New(now.Add(-time.Minute), share.Config{Domain: vm.Domain, Weight: func() float64 { return share.Weight(domains) }, Team: team, Slack: 20})
	r := NewRateLimiter(now.Add(-time.Minute), RateLimiterConfig{
		Self: vm.Name, Domain: vm.Domain, Rankings: state.NewRankings(cache), Limiter: limiter, Team: team, Log: log.New(io.Discard),
	})
	r.config.Rankings.ChangedAt(now.Add(-time.Minute))
	require.NoError(t, r.Listen(vm.Gossip))
	ctx, cancel := context.WithCancel(context.Background())
	go r.Run(ctx)
	f.limiters[vm.Name], f.stop[vm.Name] = r, cancel
	t.Cleanup(func() {
		cancel()
		_ = r.transport.conn.Close()
	})
}

// countAdmitted returns how many of the operations that arrive at a VM in succession are admitted.
func (f *admitters) countAdmitted(vm model.VMID, operations int) int {
	count := 0
	for range operations {
		if f.limiters[vm].Admit(clock.Now(), limits).Admitted {
			count++
		}
	}
	return count
}

// ranking returns the VMs of a failure domain in the order of their ranks for admitting the operations of the test's team; the first one
// admits.
func (f *admitters) ranking(domain model.Domain) []state.VM {
	return f.limiters[f.vms[0].Name].config.Rankings.Of(clock.Now(), domain, share.AdmitterRole(limits.Name))
}

func TestVMsOfAFailureDomainShareOneBucket(t *testing.T) {
	// If each of many VMs had a share of its own, the share of a small team's rate would be less than one operation.
	f := startAdmitters(t, 12, 1)
	total := 0
	for _, vm := range f.ranking("0") {
		total += f.countAdmitted(vm.Name, 2)
	}
	require.Equal(t, 24, total, "operations at every VM are admitted while the failure domain has tokens")
	total += f.countAdmitted(f.ranking("0")[5].Name, 60)
	require.LessOrEqual(t, total, int(limits.Burst)+20, "all VMs together stay within the burst")
}

func TestNextVMAdmitsWhenTheFirstDoesNotAnswer(t *testing.T) {
	f := startAdmitters(t, 4, 1)
	ranked := f.ranking("0")
	require.NoError(t, f.limiters[ranked[0].Name].transport.conn.Close())
	start := time.Now()
	require.Positive(t, f.countAdmitted(ranked[3].Name, 1), "the next VM stands in")
	require.Less(t, time.Since(start), admissionTimeout+100*time.Millisecond)
	start = time.Now()
	admitted := f.countAdmitted(ranked[2].Name, 40)
	require.Less(t, admitted, 10, "it does not start with a burst")
	require.Less(t, time.Since(start), 10*admissionTimeout, "a VM that does not answer is skipped for a while")
}

// TestAnswerToAReportTellsThatThereIsNoDemand guards against a VM that never learns that another failure domain has no demand, because a VM without
// demand reports nothing: it would keep to its even share.
func TestAnswerToAReportTellsThatThereIsNoDemand(t *testing.T) {
	f := startAdmitters(t, 2, 1)
	first := f.limiters[f.ranking("0")[0].Name]
	part := 0.0
	require.Eventually(t, func() bool {
		part = first.admit(clock.Now(), limits).Part
		return part > 0.8*limits.Rate
	}, 10*time.Second, 20*time.Millisecond)
}

// TestVMThatStandsInUsesAPartOfTheEvenShare guards against a failure domain that uses its share twice, by a VM that is slow and by the one that
// admits in its place.
func TestVMThatStandsInUsesAPartOfTheEvenShare(t *testing.T) {
	f := startAdmitters(t, 2, 1)
	standIn := f.limiters[f.ranking("0")[1].Name]
	for range 40 {
		require.LessOrEqual(t, standIn.admit(clock.Now(), limits).Part, limits.Rate/4)
	}
}

func TestPartitionedVMAdmitsOnlyItsShare(t *testing.T) {
	f := startAdmitters(t, 4, 1)
	ranked := f.ranking("0")
	for _, vm := range ranked[:3] {
		require.NoError(t, f.limiters[vm.Name].transport.conn.Close())
	}
	require.Equal(t, 1, f.countAdmitted(ranked[3].Name, 20))
}

func TestLateAnswersAreDropped(t *testing.T) {
	f := startAdmitters(t, 2)
	f.limiters["0-0"].deliverReply(admissionReply{ID: 77, Verdict: share.Decision{Admitted: true}})
	require.Empty(t, f.limiters["0-0"].pending)
}

// TestReportsOfDemandDoNotGrowWithVMsAndTeams guards against traffic between failure domains that grows with the fleet. Each team had an
// admitting VM of its own in each failure domain, so that at 295 VMs with 190 teams nearly every such pair of VMs reported to each other.
func TestReportsOfDemandDoNotGrowWithVMsAndTeams(t *testing.T) {
	const domains, most = 5, 16
	for _, c := range []struct{ vms, teams int }{{30, 20}, {295, 190}, {930, 600}} {
		cache := state.New(state.Config{VM: "vm"})
		var rows []model.StoredRow
		for i := range c.vms {
			row, err := state.VM{Name: model.VMID(fmt.Sprint(i)), Domain: model.Domain(fmt.Sprint(i % domains))}.Row()
			require.NoError(t, err)
			rows = append(rows, row)
		}
		now := clock.Now()
		require.NoError(t, cache.ApplyRows(1, true, rows, now))
		rankings := state.NewRankings(cache)
		pairs := map[[2]model.VMID]bool{}
		for team := range c.teams {
			role := share.AdmitterRole(model.TeamName(fmt.Sprint("team-", team)))
			for from := range domains {
				for to := range domains {
					if from != to {
						a := rankings.Of(now, model.Domain(fmt.Sprint(from)), role)[0].Name
						b := rankings.Of(now, model.Domain(fmt.Sprint(to)), role)[0].Name
						pairs[[2]model.VMID{a, b}] = true
					}
				}
			}
		}
		require.LessOrEqual(t, len(pairs), most*domains*(domains-1), "%d VMs, %d teams", c.vms, c.teams)
	}
}
