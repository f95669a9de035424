package commands

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/crocusshore/crocusshore/node"
)

// errQuiet ends the program with a failure that was reported already.
var errQuiet = errors.New("failed")

// Run runs the command line and returns the exit status.
func Run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := root().Run(ctx, args)
	if err == nil {
		return 0
	}
	if !errors.Is(err, errQuiet) {
		fmt.Fprintln(os.Stderr, "crocusshore:", err)
		for _, hint := range errors.GetAllHints(err) {
			fmt.Fprintln(os.Stderr, "hint:", hint)
		}
	}
	return 1
}

func root() *cli.Command {
	return &cli.Command{
		Name:  "crocusshore",
		Usage: "a database proxy with session consistency",
		Commands: []*cli.Command{
			entryCommand(),
			node.Command(),
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

// example returns the description of a command with an example of its use.
func example(text, line string) string {
	return text + "\n\nExample:\n   " + line
}
