package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/crocusshore/crocusshore/admin"
	"github.com/crocusshore/crocusshore/load"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/report"
	"github.com/crocusshore/crocusshore/tree"
)

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "show how fast teams and routes use up their error budgets",
		Description: withExample("Reads running entries, or an experiment that load has recorded.",
			"crocusshore report --from 10.0.0.7:7200 --from 10.0.0.8:7200 --out burn.html"),
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "from", Usage: "operator address of an entry; repeat it for each entry to include all VMs"},
			&cli.StringFlag{Name: "scheme", Usage: "http, or https where the entries have certificates", Value: "http"},
			authorityFlag(),
			&cli.StringFlag{Name: "experiment", Usage: "file that load --record has written"},
			&cli.StringFlag{Name: "out", Usage: "file for the HTML page"},
		},
		Action: runReport,
	}
}

func runReport(ctx context.Context, c *cli.Command) error {
	now, source, all, err := readSeries(ctx, c)
	if err != nil {
		return err
	}
	fmt.Print(report.Text(now, all))
	if c.String("out") == "" {
		return nil
	}
	file, err := os.Create(c.String("out"))
	if err != nil {
		return err
	}
	return errors.CombineErrors(report.WriteHTML(file, now, source, all), file.Close())
}

func readSeries(ctx context.Context, c *cli.Command) (now time.Time, source string, all []report.Series, err error) {
	if file := c.String("experiment"); file != "" {
		now, all, err = readExperiment(file)
		return now, file, all, err
	}
	entries := c.StringSlice("from")
	if len(entries) == 0 {
		return now, "", nil, errors.WithHint(errors.New("nothing to report on"), "name entries with --from, or a recorded experiment with --experiment")
	}
	var lists [][]report.Series
	for _, entry := range entries {
		list, err := readEntry(ctx, c, entry)
		if err != nil {
			return now, "", nil, errors.Wrapf(err, "entry %s", entry)
		}
		lists = append(lists, list)
	}
	return time.Now(), strings.Join(entries, ", "), report.Merge(lists...), nil
}

func readEntry(ctx context.Context, c *cli.Command, entry string) ([]report.Series, error) {
	operator, err := newOperatorClientAt(c, entry)
	if err != nil {
		return nil, err
	}
	burns, err := operator.GetBurn(ctx)
	if err != nil {
		return nil, reportOperatorError(err)
	}
	return toSeries(burns), nil
}

func toSeries(burns []admin.BurnSeries) []report.Series {
	all := make([]report.Series, 0, len(burns))
	for _, burn := range burns {
		series := report.Series{
			Team:         model.TeamName(burn.Team),
			Route:        model.RouteName(burn.Route),
			Availability: burn.Availability,
			LatencyShare: burn.LatencyShare,
		}
		for _, slot := range burn.Slots {
			series.Slots = append(series.Slots, report.Slot(slot))
		}
		all = append(all, series)
	}
	return all
}

// readExperiment counts the requests of a recorded run against the default objectives, as one route for reads and one for writes.
func readExperiment(file string) (time.Time, []report.Series, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return time.Time{}, nil, err
	}
	var experiment load.Experiment
	if err := json.Unmarshal(text, &experiment); err != nil {
		return time.Time{}, nil, errors.Wrapf(err, "%s is not a recorded experiment", file)
	}
	recorder := report.NewRecorder()
	now := experiment.Started
	for _, r := range experiment.Requests {
		route := model.RouteName("reads")
		if r.Write {
			route = "writes"
		}
		ended := experiment.Started.Add(r.At + r.Latency)
		if ended.After(now) {
			now = ended
		}
		recorder.Add(ended, report.Request{Team: r.Team, Route: route, Outcome: r.Outcome, Reason: r.Reason, Latency: r.Latency}, tree.Defaults())
	}
	return now, recorder.Series(), nil
}
