package commands

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/crocusshore/crocusshore/audit"
	"github.com/crocusshore/crocusshore/node"
)

// errReported makes the program exit with status 1 without printing an error, because the failure was printed already.
var errReported = errors.New("failed")

// Run runs the command line and returns the exit status: 0, or 1 after a failure that has no status of its own.
func Run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := rootCommand().Run(ctx, args)
	if err == nil {
		return 0
	}
	status := 1
	var failure *audit.Failure
	if errors.As(err, &failure) {
		status = failure.Status
	}
	if !errors.Is(err, errReported) && err.Error() != "" {
		fmt.Fprintln(os.Stderr, "crocusshore:", err)
		for _, hint := range errors.GetAllHints(err) {
			fmt.Fprintln(os.Stderr, "hint:", hint)
		}
	}
	return status
}

func rootCommand() *cli.Command {
	return &cli.Command{
		Name:  "crocusshore",
		Usage: "a database proxy with session consistency",
		Commands: []*cli.Command{
			entryCommand(),
			node.Command(node.ReceiveSignals),
			standinCommand(),
			demoCommand(),
			soakCommand(),
			settingsCommand(),
			keysCommand(),
			teamsCommand(),
			routesCommand(),
			groupsCommand(),
			statusCommand(),
			benchCommand(),
			loadCommand(),
			reportCommand(),
			versionCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

// withExample appends an example to the description of a command.
func withExample(text, line string) string {
	return text + "\n\nExample:\n   " + line
}
