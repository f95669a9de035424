package commands

import (
	"context"
	"os"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"

	"github.com/crocusshore/crocusshore/config"
	"github.com/crocusshore/crocusshore/entry"
	"github.com/crocusshore/crocusshore/logs"
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:        "entry",
		Usage:       "run the daemon of an entry VM",
		Description: withExample("Runs until it is interrupted, then stops without breaking a request.", "crocusshore entry --config /etc/crocusshore/entry.json"),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "the VM's settings, JSON with comments", Required: true},
			&cli.BoolFlag{Name: "check", Usage: "only check the settings"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			local, err := config.Read(c.String("config"))
			if err != nil || c.Bool("check") {
				return err
			}
			return runEntry(ctx, local)
		},
	}
}

func runEntry(ctx context.Context, local config.Entry) error {
	logger, err := newLogger(local.LogLevel)
	if err != nil {
		return err
	}
	metrics, handler, closer := newMetrics(string(local.VM), string(local.Domain))
	defer func() { _ = closer.Close() }()
	server, err := entry.New(entry.Options{Config: local, Log: logger, Metrics: metrics, MetricsHandler: handler})
	if err != nil {
		return err
	}
	if err := server.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	return server.Stop(context.WithoutCancel(ctx))
}

func newLogger(level string) (*log.Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	return log.NewWithOptions(logs.CutValues(os.Stderr), log.Options{Level: parsed, ReportTimestamp: true, Formatter: log.LogfmtFormatter}), nil
}
