package bench

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/caller"
	"github.com/crocusshore/crocusshore/load"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
)

// TestRollingReplacementFailsNoRequest guards against a rolling replacement that refuses or breaks requests: every entry is
// replaced by a new one under load.
func TestRollingReplacementFailsNoRequest(t *testing.T) {
	fleet := newSmallFleet(t, 3)
	ctx := context.Background()
	config := fleet.LoadConfig(1, 60, 0.3)
	balance := &balancer{fleet: fleet}
	config.Entries = balance.addresses
	runner := load.New(config)
	runCtx, stop := context.WithCancel(ctx)
	finished := make(chan struct{})
	go func() { runner.Run(runCtx); close(finished) }()
	for _, old := range fleet.Entries() {
		_, err := fleet.AddEntry(ctx)
		require.NoError(t, err)
		require.NoError(t, fleet.AwaitReady(ctx))
		time.Sleep(2 * entryStartupDelay)
		balance.setUnhealthy(old.Self().ID, true)
		require.NoError(t, old.Stop(ctx))
		fleet.RemoveEntry(old)
	}
	stop()
	<-finished
	runner.Audit(ctx)
	require.Empty(t, runner.Violations().List())
	require.Empty(t, runner.Tally().Refused, "a planned stop must not refuse or break a request")
	require.Positive(t, runner.Tally().Writes)
}

const entryStartupDelay = 1500 * time.Millisecond

// TestCrashOfVMWithOpenTransactionLeavesNoWrites guards against writes that remain, or a commit with another outcome than NotRun,
// after the crash of the VM that runs an interactive transaction.
func TestCrashOfVMWithOpenTransactionLeavesNoWrites(t *testing.T) {
	fleet := newSmallFleet(t, 4)
	p := &pathTest{fleet: fleet, client: load.NewClient(fleet.transport)}
	ctx := load.WithKey(context.Background(), fleet.Keys["Estimators"])
	begun, err := p.api(t, 0).BeginTransaction(ctx, caller.BeginTransactionParams{Route: "OrdersTruss1"})
	require.NoError(t, err)
	write := &caller.Statement{Kind: caller.KindWrite, Text: "append", Arguments: []string{"order/dead", "x"}}
	_, err = p.api(t, 0).RunInTransaction(ctx, write, caller.RunInTransactionParams{Transaction: begun.Transaction})
	require.NoError(t, err)

	var survivor int
	for _, server := range fleet.Entries() {
		if server.OpenTransactions() > 0 {
			fleet.RemoveEntry(server)
			server.Kill()
			break
		}
	}
	require.Len(t, fleet.Entries(), 3, "the VM that runs the transaction must be found")
	_, err = p.api(t, survivor).CommitTransaction(ctx, &caller.CommitRequest{}, caller.CommitTransactionParams{Transaction: begun.Transaction})
	require.Error(t, err)
	require.Equal(t, model.NotRun, load.RefusalOf(err).Outcome)
	answer := p.do(survivor, "Estimators", "", getLines("order/dead"))
	require.Nil(t, answer.Refusal)
	require.Empty(t, answer.Rows)
}

// TestLostAnswersDoNotMixUpOutcomes guards against callers that get the outcome of another request when answers of the primary are
// lost after their statements ran.
func TestLostAnswersDoNotMixUpOutcomes(t *testing.T) {
	fleet := newSmallFleet(t, 3)
	primaryInstance(fleet, "Truss1").Faults.Set(stand.Fault{DropEvery: 9})
	runner := runFor(context.Background(), fleet.LoadConfig(3, 80, 0.5), 3*time.Second)
	primaryInstance(fleet, "Truss1").Faults.Set(stand.Fault{})
	runner.Audit(context.Background())
	require.Empty(t, runner.Violations().List())
	require.Positive(t, runner.Tally().Writes)
}

// TestLossOfAcknowledgedWriteIsReported guards against a silent loss of a write in a failover. The primary alone acknowledged it,
// as the settings allow, and crashed before a replica received it; the next answer to the session has to report the loss.
func TestLossOfAcknowledgedWriteIsReported(t *testing.T) {
	profile, err := NewProfile("Beaulieu")
	require.NoError(t, err)
	profile.Entries, profile.Groups = 3, profile.Groups[:1]
	fleet, err := StartFleet(context.Background(), FleetConfig{Profile: profile})
	require.NoError(t, err)
	t.Cleanup(fleet.Close)
	primaryOnly := withFleetSetting(fleet.SettingsText(), `"Acknowledge": "Primary"`)
	require.NoError(t, fleet.ApplySettings(context.Background(), primaryOnly))
	p := &pathTest{fleet: fleet, client: load.NewClient(fleet.transport)}
	first := p.do(0, "Estimators", "", appendLine("kept", "order/loss", "kept"))
	require.Nil(t, first.Refusal)
	primary := primaryInstance(fleet, "Truss1")
	for _, instance := range fleet.Groups["Truss1"].Instances {
		require.Eventually(t, func() bool { return instance.State().Held >= first.Mark.Position }, 5*time.Second, 10*time.Millisecond)
		if instance != primary {
			instance.Faults.Set(stand.Fault{Paused: true})
		}
	}
	lost := p.do(0, "Estimators", first.Token, appendLine("lost", "order/loss", "lost"))
	require.Nil(t, lost.Refusal, "the primary alone must acknowledge the write")
	primary.Faults.Set(stand.Fault{Down: true})
	for _, instance := range fleet.Groups["Truss1"].Instances {
		if instance != primary {
			instance.Faults.Set(stand.Fault{})
		}
	}
	var seen load.Answer
	require.Eventually(t, func() bool {
		seen = p.do(1, "Estimators", lost.Token, getLines("order/loss"))
		return seen.Refusal == nil
	}, 20*time.Second, 50*time.Millisecond)
	require.True(t, seen.LostWrites, "the lost write was not reported: first %+v, lost %+v, seen %+v", first, lost, seen)
	require.Equal(t, []string{"kept"}, seen.Rows)
}
