package commands

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/crocusshore/crocusshore/admin"
)

func keysCommand() *cli.Command {
	return &cli.Command{
		Name:  "keys",
		Usage: "issue, withdraw and list callers' keys",
		Commands: []*cli.Command{
			{
				Name:        "issue",
				Usage:       "issue a key for a team and print it once",
				ArgsUsage:   "TEAM",
				Description: withExample("For a rotation, issue the new key first and withdraw the old one when no caller uses it.", "crocusshore keys issue Estimators"),
				Flags:       operatorFlags(),
				Action:      issueKey,
			},
			{
				Name:        "withdraw",
				Usage:       "withdraw a key",
				ArgsUsage:   "ID",
				Description: withExample("Returns once no VM admits the key any more.", "crocusshore keys withdraw 6n1Jp0cTq9xA"),
				Flags:       operatorFlags(),
				Action:      withdrawKey,
			},
			{
				Name:        "list",
				Usage:       "list the keys, without their secrets",
				Description: withExample("Lists the keys of all teams.", "crocusshore keys list"),
				Flags:       operatorFlags(),
				Action:      listKeys,
			},
		},
	}
}

func issueKey(ctx context.Context, c *cli.Command) error {
	operator, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	issued, err := operator.IssueKey(ctx, &admin.KeyRequest{Team: c.Args().First()})
	if err != nil {
		return reportOperatorError(err)
	}
	if c.String("format") == "json" {
		return showJSON(issued)
	}
	fmt.Printf("id   %s\nkey  %s\n", issued.ID, issued.Key)
	return showChanged(&admin.Changed{Version: issued.Version, InForce: issued.InForce})
}

func withdrawKey(ctx context.Context, c *cli.Command) error {
	operator, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	changed, err := operator.WithdrawKey(ctx, admin.WithdrawKeyParams{ID: c.Args().First()})
	if err != nil {
		return reportOperatorError(err)
	}
	return showChanged(changed)
}

func listKeys(ctx context.Context, c *cli.Command) error {
	operator, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	keys, err := operator.ListKeys(ctx)
	if err != nil {
		return reportOperatorError(err)
	}
	var rows [][]any
	for _, key := range keys {
		rows = append(rows, []any{key.ID, key.Team, key.Issued.Format("2006-01-02 15:04:05")})
	}
	return showTable(c, keys, "ID\tTEAM\tISSUED", rows)
}
