package commands

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/crocusshore/crocusshore/bench"
	"github.com/crocusshore/crocusshore/load"
)

const (
	// demoRate is in requests per second, of all teams together.
	demoRate      = 250
	demoWrites    = 0.15
	demoFirstPort = 7000
	demoVMCount   = 6
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:        "demo",
		Usage:       "run entries, a stand-in platform and stand-in databases in one process",
		Description: withExample("Sends order revisions and tray reservations and runs until interrupted.", "crocusshore demo --for 20s"),
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "for", Usage: "end by itself after this time"},
			&cli.StringFlag{Name: "profile", Usage: "Beaulieu or Ladica", Value: "Beaulieu"},
			&cli.StringFlag{Name: "log", Usage: "log level of the entries", Value: "error"},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, c *cli.Command) error {
	profile, err := bench.NewProfile(c.String("profile"))
	if err != nil {
		return err
	}
	profile.Entries = demoVMCount
	logger, err := newLogger(c.String("log"))
	if err != nil {
		return err
	}
	fmt.Printf("starting the platform, %d database groups and %d entries in %d failure domains …\n",
		len(profile.Groups), profile.Entries, len(profile.Domains))
	fleet, err := bench.StartFleet(ctx, bench.FleetConfig{Profile: profile, Log: logger, FirstPort: demoFirstPort})
	if err != nil {
		return err
	}
	defer fleet.Close()
	showFleet(fleet)
	if limit := c.Duration("for"); limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	runner := load.New(fleet.LoadConfig(uint64(time.Now().UnixNano()), demoRate, demoWrites))
	go showProgress(ctx, runner)
	runner.Run(ctx)
	runner.Audit(context.WithoutCancel(ctx))
	return showDemo(fleet, runner)
}

func showFleet(fleet *bench.Fleet) {
	for _, server := range fleet.Entries() {
		self := server.Self()
		fmt.Printf("  entry %-9s callers %s  operators %s\n", self.ID, server.CallerAddress, server.OperatorAddress)
	}
	team := fleet.Profile.Teams[0].Name
	group := fleet.Profile.Groups[0]
	entries := fleet.Entries()
	fmt.Printf("\ntry, while it runs:\n"+
		"  KEY=%s\n"+
		"  curl -si -H \"Authorization: Bearer $KEY\" -H 'Content-Type: application/json' http://%s/routes/%s/statements \\\n"+
		"    -d '{\"Statement\":{\"Kind\":\"Write\",\"Text\":\"append\",\"Arguments\":[\"order/17\",\"10 trusses\"]},\"RequestId\":\"first\"}'\n"+
		"  curl -si -H \"Authorization: Bearer $KEY\" -H 'Content-Type: application/json' -H 'Session-Token: TOKEN' http://%s/routes/%s/statements \\\n"+
		"    -d '{\"Statement\":{\"Kind\":\"Read\",\"Text\":\"get\",\"Arguments\":[\"order/17\"]}}'\n"+
		"  %s=%s crocusshore status --entry %s\n\n",
		fleet.Keys[team], entries[0].CallerAddress, bench.RouteOf(bench.KindOrders, group),
		entries[1].CallerAddress, bench.RouteOf(bench.KindOrders, group),
		operatorKeyVariable, bench.OperatorKey, entries[0].OperatorAddress)
}

// showDemo prints how many requests each instance and each failure domain served. It fails if an invariant was violated or a failure
// domain served none.
func showDemo(fleet *bench.Fleet, runner *load.Runner) error {
	fmt.Print("\n\n", runner.Tally().Summary())
	byDomain := map[string]int{}
	for name, count := range runner.Tally().ServedBy {
		for _, group := range fleet.Groups {
			for _, instance := range group.Instances {
				if string(instance.Name()) == name {
					byDomain[string(instance.Domain())] = count
				}
			}
		}
	}
	domains := make([]string, 0, len(byDomain))
	for domain := range byDomain {
		domains = append(domains, domain)
	}
	sort.Strings(domains)
	for _, domain := range domains {
		fmt.Printf("served in failure domain %s: %d\n", domain, byDomain[domain])
	}
	violations := append(runner.Violations().List(), fleet.Violations()...)
	for _, violation := range violations {
		fmt.Println("VIOLATION", violation)
	}
	fmt.Printf("violations: %d\n", len(violations))
	if len(violations) > 0 || len(byDomain) < len(fleet.Profile.Domains) {
		return errReported
	}
	return nil
}
