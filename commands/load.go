package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/crocusshore/crocusshore/load"
	"github.com/crocusshore/crocusshore/model"
)

const progressInterval = time.Second

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send a workload to running entries, in sessions that move between them, and check every answer",
		Description: withExample("Each --team is NAME=KEY. Fails if a guarantee to a session was violated.",
			"crocusshore load --entry 127.0.0.1:7000 --entry 127.0.0.1:7001 --team Estimators=KEY --route Orders --rate 100 --for 30s --record run.json"),
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "caller address of an entry", Required: true},
			&cli.StringSliceFlag{Name: "team", Usage: "NAME=KEY", Required: true},
			&cli.StringFlag{Name: "route", Usage: "the route for reads", Required: true},
			&cli.StringFlag{Name: "write-route", Usage: "the route for writes; by default the route for reads"},
			&cli.FloatFlag{Name: "rate", Usage: "requests a second of all teams together", Value: 100},
			&cli.FloatFlag{Name: "writes", Usage: "share of the requests that write", Value: 0.1},
			&cli.FloatFlag{Name: "roam", Usage: "probability that a session changes its entry before a request", Value: 0.3},
			&cli.IntFlag{Name: "sessions", Usage: "sessions of each team", Value: 16},
			&cli.DurationFlag{Name: "deadline", Value: 5 * time.Second},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "record", Usage: "file to write the experiment to, as JSON"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, c *cli.Command) error {
	config, err := loadConfig(c)
	if err != nil {
		return err
	}
	experiment := &load.Experiment{Started: time.Now(), Rate: c.Float("rate"), WriteShare: config.WriteShare, Seed: config.Seed}
	config.Observe = experiment.Observe
	runner := load.New(config)
	runCtx, cancel := context.WithTimeout(ctx, c.Duration("for"))
	defer cancel()
	go showProgress(runCtx, runner)
	runner.Run(runCtx)
	runner.Audit(ctx)
	fmt.Print("\n", runner.Tally().Summary())
	for _, violation := range runner.Violations().List() {
		fmt.Println("VIOLATION", violation)
	}
	fmt.Printf("violations: %d\n", runner.Violations().Count())
	if err := writeExperiment(c.String("record"), experiment, runner); err != nil {
		return err
	}
	if runner.Violations().Count() > 0 {
		return errReported
	}
	return nil
}

func loadConfig(c *cli.Command) (load.Config, error) {
	config := load.Config{
		Transport:  &http.Transport{MaxIdleConnsPerHost: 256},
		Groups:     []model.GroupName{"load"},
		WriteShare: c.Float("writes"),
		Roam:       c.Float("roam"),
		Sessions:   c.Int("sessions"),
		Deadline:   c.Duration("deadline"),
		Seed:       uint64(time.Now().UnixNano()),
	}
	if c.IsSet("seed") {
		config.Seed = c.Uint64("seed")
	}
	var entries []netip.AddrPort
	for _, text := range c.StringSlice("entry") {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return config, errors.WithHint(err, "give IP addresses with ports; host names are not resolved")
		}
		entries = append(entries, address)
	}
	config.Entries = func() []netip.AddrPort { return entries }
	teams := c.StringSlice("team")
	for _, text := range teams {
		name, key, ok := strings.Cut(text, "=")
		if !ok {
			return config, errors.Newf("%q is not NAME=KEY", text)
		}
		config.Teams = append(config.Teams, load.Team{Name: model.TeamName(name), Key: key, Rate: c.Float("rate") / float64(len(teams))})
	}
	config.Route = func(_ model.TeamName, _ model.GroupName, write bool) model.RouteName {
		if write && c.String("write-route") != "" {
			return model.RouteName(c.String("write-route"))
		}
		return model.RouteName(c.String("route"))
	}
	return config, nil
}

func showProgress(ctx context.Context, runner *load.Runner) {
	started := time.Now()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			fmt.Printf("\r%s", runner.Tally().Progress(time.Since(started)))
		}
	}
}

func writeExperiment(file string, experiment *load.Experiment, runner *load.Runner) error {
	if file == "" {
		return nil
	}
	experiment.Violations = runner.Violations().List()
	text, err := json.MarshalIndent(experiment, "", "  ")
	if err != nil {
		return err
	}
	const fileMode = 0o644
	return os.WriteFile(file, text, fileMode)
}
