package commands

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/crocusshore/crocusshore/soak"
)

var errViolations = errors.New("promises were broken")

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run daemons as processes, inject faults from outside and check the guarantees",
		Description: withExample("Runs one seed after another; logs and settings of a seed that violated a guarantee are kept.",
			"crocusshore soak --program target/daemon --seed 1 --seeds 50"),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Usage: "the daemon", Value: "target/daemon"},
			&cli.Uint64Flag{Name: "seed", Usage: "the first seed", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "how many seeds to run", Value: 1},
			&cli.IntFlag{Name: "vms", Usage: "how many daemons", Value: 6},
			&cli.IntFlag{Name: "groups", Usage: "how many database groups", Value: 2},
			&cli.IntFlag{Name: "sessions", Usage: "how many callers at a time", Value: 24},
			&cli.DurationFlag{Name: "for", Usage: "how long faults are injected", Value: 15 * time.Second},
			&cli.BoolFlag{Name: "order-faults", Usage: "also faults of the promotion service and of the paths to it"},
			&cli.BoolFlag{Name: "answer-faults", Usage: "also instances that repeat, cut or delay answers and refuse session values"},
			&cli.BoolFlag{Name: "evacuations", Usage: "also evacuations of failure domains"},
			&cli.BoolFlag{Name: "slow-starts", Usage: "also instances that start again and are slow, or fail, for some seconds"},
			&cli.BoolFlag{Name: "large-settings", Usage: "also settings of some hundred KiB that change while daemons are killed"},
			&cli.BoolFlag{Name: "crowds", Usage: "also clients that send large, partial or many messages, slowly, or stop half-way"},
			&cli.BoolFlag{Name: "restores", Usage: "also a store that comes back from copies some seconds old"},
			&cli.BoolFlag{Name: "planned", Usage: "no faults, only planned work: restarts and changes of settings"},
			&cli.IntFlag{Name: "together", Usage: "how many daemons restart at a time in planned work", Value: 1},
			&cli.DurationFlag{Name: "grace", Usage: "the time between SIGTERM and SIGKILL", Value: 3 * time.Second},
			&cli.StringFlag{Name: "dir", Usage: "directory for logs and settings; empty takes the system's directory for temporary files"},
			&cli.StringFlag{Name: "log", Usage: "log level of the soak", Value: "error"},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, c *cli.Command) error {
	failed := 0
	for n := range c.Int("seeds") {
		seed := c.Uint64("seed") + uint64(n)
		passed, err := soakSeed(ctx, c, seed)
		if err != nil {
			return err
		}
		if !passed {
			failed++
		}
	}
	if failed > 0 {
		return errors.Wrapf(errViolations, "by %d of %d seeds", failed, c.Int("seeds"))
	}
	return nil
}

// soakSeed runs one seed and reports whether no guarantee was violated.
func soakSeed(ctx context.Context, c *cli.Command, seed uint64) (bool, error) {
	logger, err := newLogger(c.String("log"))
	if err != nil {
		return false, err
	}
	dir, err := soak.MakeDir(c.String("dir"), seed)
	if err != nil {
		return false, err
	}
	report, err := soak.Run(ctx, soak.Config{
		Program: c.String("program"), Dir: dir, Seed: seed, VMs: c.Int("vms"), Groups: c.Int("groups"), Sessions: c.Int("sessions"),
		For: c.Duration("for"), OrderFaults: c.Bool("order-faults"), AnswerFaults: c.Bool("answer-faults"),
		Evacuations: c.Bool("evacuations"), SlowStarts: c.Bool("slow-starts"), LargeSettings: c.Bool("large-settings"), Crowds: c.Bool("crowds"), Restores: c.Bool("restores"), PlannedOnly: c.Bool("planned"),
		Together: c.Int("together"), Grace: c.Duration("grace"), Log: logger,
	})
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %d faults, %d acknowledged, %d refused, %d open, %d rejected, %d breaches, %d unanswered; %s; %s\n",
		seed, len(report.Faults), report.Acknowledged, report.Refused, report.Unknown, report.Rejected, report.Count(), report.Unanswered, report.Rate, report.Orders)
	if report.Evacuations != "" {
		fmt.Println("  ", report.Evacuations)
	}
	for _, d := range report.Orders.Details {
		fmt.Println("  ", d)
	}
	if len(report.Violations) == 0 {
		return true, os.RemoveAll(dir)
	}
	for _, f := range report.Faults {
		fmt.Println("  ", f)
	}
	fmt.Println("  by kind:", report.Kinds)
	for _, b := range report.Violations {
		fmt.Println("  broken:", b)
	}
	fmt.Println("  logs:", dir)
	return false, nil
}
