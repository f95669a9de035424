package node

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"github.com/urfave/cli/v3"

	"github.com/crocusshore/crocusshore/logs"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/platform"
)

const (
	// metricsPort is the default port of the metrics.
	metricsPort = 9464
	// memoryShare is the share of the VM's memory that becomes the soft memory limit of the Go runtime.
	memoryShare = 0.6
	// metricsInterval is the interval at which the metrics are collected.
	metricsInterval = 2 * time.Second
)

// Command returns the command that runs the daemon; receive returns the signals of the process.
func Command(receive func() Signals) *cli.Command {
	return &cli.Command{
		Name:  "node",
		Usage: "run the daemon of a VM on the users' platform",
		Description: "Reads the settings file that " + platform.SettingsVariable + " names, runs until SIGTERM, then stops without breaking a request.\n\n" +
			"Example:\n   crocusshore node --log-level info",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "the settings file, YAML", Sources: cli.EnvVars(platform.SettingsVariable)},
			&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error", Value: "info"},
			&cli.Uint16Flag{Name: "metrics-port", Usage: "where metrics are served", Value: metricsPort},
			&cli.BoolFlag{Name: "check", Usage: "only check the settings"},
		},
		Commands: []*cli.Command{policyCheckCommand()},
		Action: func(ctx context.Context, c *cli.Command) error {
			signals := receive()
			// The flag is not marked as required, since that would require it for the subcommands, too.
			if c.String("settings") == "" {
				return errors.WithHintf(errors.New("the settings file is missing"), "set --settings or %s to its path", platform.SettingsVariable)
			}
			settings, body, err := platform.ReadSettings(c.String("settings"))
			if err != nil || c.Bool("check") {
				return err
			}
			// A signal that ends the context of the program must not end the node before its sessions have ended.
			return run(context.WithoutCancel(ctx), signals, settings, body, c)
		},
	}
}

func run(ctx context.Context, signals Signals, settings platform.Settings, body []byte, c *cli.Command) error {
	logger, ring, err := logs.New(os.Stdout, c.String("log-level"))
	if err != nil {
		return err
	}
	defer ring.Close()
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryLimit)))
	}
	scope, handler, closer := newMetrics(settings.VM)
	defer func() { _ = closer.Close() }()
	store := platform.NewStore(settings.Store)
	store.OnBadEra(func(header string) {
		logger.Warn("bad era in an answer of the store, the newest known one counts", "header", header)
	})
	n := New(Config{
		Settings: settings, SettingsBody: body, SettingsPath: c.String("settings"), Signals: signals, Log: logger, Scope: scope, MetricsHandler: handler,
		Dialer: platform.Dialer{}, OpenRows: func() model.RowStore { return store.Open() },
		Promotions: platform.NewPromotions(settings.Promotions),
		Metrics:    netip.AddrPortFrom(settings.Address, c.Uint16("metrics-port")),
	})
	return n.Run(ctx)
}

// newMetrics returns the root scope of the metrics of a VM, and the HTTP handler from which a collector reads them. Names keep only letters, digits
// and underscores in them.
func newMetrics(vm model.VMID) (tally.Scope, http.Handler, io.Closer) {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "crocusshore", Tags: map[string]string{"vm": string(vm)}, CachedReporter: reporter,
		Separator: prometheus.DefaultSeparator, SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, metricsInterval)
	return scope, reporter.HTTPHandler(), closer
}
