package node

import (
	"context"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/crocusshore/crocusshore/audit"
	"github.com/crocusshore/crocusshore/platform"
)

// Formats of what CheckPolicy writes.
const (
	formatText = "text"
	formatJSON = "json"
)

// PolicyCheckFlags returns the flags of a command that runs CheckPolicy.
func PolicyCheckFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "against", Usage: "a file with the operators' settings in effect, to show what differs"},
		&cli.StringFlag{Name: "format", Usage: "text or json", Value: formatText},
	}
}

// CheckPolicy checks a file with the operators' settings as the flags of a command tell, and writes the report. Its error is an *audit.Failure.
func CheckPolicy(w io.Writer, file string, c *cli.Command) error {
	format := c.String("format")
	if format != formatText && format != formatJSON {
		return unreadable(errors.WithHint(errors.Newf("the format %q is not known", format), "use text or json"))
	}
	if file == "" {
		return unreadable(errors.WithHint(errors.New("the file is missing"), "give the path of the operators' settings"))
	}
	report, err := platform.CheckPolicy(file, c.String("against"))
	if err != nil {
		return unreadable(err)
	}
	write := report.WriteText
	if format == formatJSON {
		write = report.WriteJSON
	}
	if err := write(w); err != nil {
		return unreadable(err)
	}
	return report.Err()
}

func unreadable(err error) error { return &audit.Failure{Status: audit.StatusUnreadable, Err: err} }

// policyCheckCommand returns the command that checks the operators' settings without running the daemon.
func policyCheckCommand() *cli.Command {
	return &cli.Command{
		Name:        "settings-check",
		Usage:       "check a file with the operators' settings, JSON, and show how it differs from the version in effect",
		ArgsUsage:   "FILE",
		Description: "Ends with 0 if there are no errors, 1 if there are, 2 if a file cannot be read or parsed.",
		Flags:       PolicyCheckFlags(),
		Action: func(_ context.Context, c *cli.Command) error {
			return CheckPolicy(os.Stdout, c.Args().First(), c)
		},
	}
}
