package commands

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:        "version",
		Usage:       "print the version of this program",
		Description: withExample("Prints the module's version and the revision that it was built from.", "crocusshore version"),
		Action: func(context.Context, *cli.Command) error {
			info, ok := debug.ReadBuildInfo()
			if !ok {
				fmt.Println("crocusshore (unknown build)")
				return nil
			}
			revision := "unknown revision"
			for _, setting := range info.Settings {
				if setting.Key == "vcs.revision" {
					revision = setting.Value
				}
			}
			fmt.Printf("crocusshore %s (%s, %s)\n", info.Main.Version, revision, info.GoVersion)
			return nil
		},
	}
}
