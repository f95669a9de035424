package commands

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/crocusshore/crocusshore/bench"
)

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:        "bench",
		Usage:       "measure a fleet on this machine in real time",
		ArgsUsage:   "NAME",
		Description: withExample("Benches: "+strings.Join(bench.Names(), ", ")+". Fails if an invariant was violated.", "crocusshore bench replicas --profile Beaulieu --seed 1 --format json"),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "profile", Usage: strings.Join(bench.Profiles(), " or "), Value: "Beaulieu"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "format", Usage: "text or json", Value: "text"},
			&cli.IntFlag{Name: "entries", Usage: "number of entry VMs; 0 takes that of the profile"},
			&cli.DurationFlag{Name: "for", Usage: "how long the load runs; 0 takes the default of the bench"},
		},
		Action: runBench,
	}
}

func runBench(ctx context.Context, c *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt)
	defer stop()
	name := c.Args().First()
	if name == "" {
		return errors.WithHintf(errors.New("the name of the bench is missing"), "use one of %s", strings.Join(bench.Names(), ", "))
	}
	profile, err := bench.NewProfile(c.String("profile"))
	if err != nil {
		return err
	}
	if n := c.Int("entries"); n > 0 {
		profile.Entries = n
	}
	result, err := bench.Run(ctx, name, bench.Options{Profile: profile, Seed: c.Uint64("seed"), LoadTime: c.Duration("for")})
	if err != nil {
		return err
	}
	if c.String("format") == "json" {
		err = showJSON(result)
	} else {
		fmt.Print(result.Text())
	}
	if err == nil && len(result.Violations) > 0 {
		return errReported
	}
	return err
}
