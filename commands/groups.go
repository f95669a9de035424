package commands

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/crocusshore/crocusshore/admin"
)

func groupsCommand() *cli.Command {
	return &cli.Command{
		Name:        "groups",
		Usage:       "list the database groups, or switch a primary",
		Description: withExample("Shows term, primary and instances of each group.", "crocusshore groups"),
		Flags:       operatorFlags(),
		Action:      listGroups,
		Commands: []*cli.Command{{
			Name:        "switch",
			Usage:       "make another instance the primary",
			ArgsUsage:   "GROUP INSTANCE",
			Description: withExample("The old primary is fenced first. The new one takes over once it has received everything.", "crocusshore groups switch Truss1 B"),
			Flags:       operatorFlags(),
			Action:      switchPrimary,
		}},
	}
}

func listGroups(ctx context.Context, c *cli.Command) error {
	operator, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	groups, err := operator.ListGroups(ctx)
	if err != nil {
		return reportOperatorError(err)
	}
	var rows [][]any
	for _, g := range groups {
		for _, i := range g.Instances {
			role := "replica"
			if i.Name == g.Primary {
				role = "primary"
			}
			rows = append(rows, []any{g.Name, g.Term, i.Name, role, i.Domain, i.Address, i.Reachable, i.Leaving, i.Applied})
		}
	}
	return showTable(c, groups, "GROUP\tTERM\tINSTANCE\tROLE\tFAILURE DOMAIN\tADDRESS\tREACHABLE\tLEAVING\tAPPLIED", rows)
}

func switchPrimary(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return errors.WithHint(errors.New("the group and the instance are missing"), "use: groups switch GROUP INSTANCE")
	}
	operator, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	changed, err := operator.SwitchPrimary(ctx, &admin.InstanceRef{Instance: c.Args().Get(1)}, admin.SwitchPrimaryParams{Group: c.Args().First()})
	if err != nil {
		return reportOperatorError(err)
	}
	return showChanged(changed)
}
