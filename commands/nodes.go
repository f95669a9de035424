package commands

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/crocusshore/crocusshore/tree"
)

// treeList describes a command that lists a part of the settings tree.
type treeList struct {
	name   string
	usage  string
	detail string
	header string
	rows   func(*tree.Tree) [][]any
}

func (l treeList) command() *cli.Command {
	return &cli.Command{
		Name:        l.name,
		Usage:       l.usage,
		Description: withExample(l.detail, "crocusshore "+l.name),
		Flags:       operatorFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			t, err := fetchTree(ctx, c)
			if err != nil {
				return err
			}
			rows := l.rows(t)
			return showTable(c, rows, l.header, rows)
		},
	}
}

func teamsCommand() *cli.Command {
	return treeList{
		name:   "teams",
		usage:  "list the teams with their limits",
		detail: "Shows the rate, burst and weight in effect for each team.",
		header: "TEAM\tRATE\tBURST\tWEIGHT\tPARENT",
		rows:   teamRows,
	}.command()
}

func teamRows(t *tree.Tree) [][]any {
	var rows [][]any
	for _, path := range t.Paths() {
		if team, ok := path.Team(); ok {
			s := t.Settings(path)
			rows = append(rows, []any{team, s.Rate, s.Burst, s.Weight, t.Node(path).Parent})
		}
	}
	return rows
}

func routesCommand() *cli.Command {
	return treeList{
		name:   "routes",
		usage:  "list the routes with their groups and classes",
		detail: "Shows the group, team, class and allowed age in effect for each route.",
		header: "ROUTE\tGROUP\tACCESS\tCLASS\tMAX AGE\tACKNOWLEDGE",
		rows:   routeRows,
	}.command()
}

func routeRows(t *tree.Tree) [][]any {
	var rows [][]any
	for _, route := range t.Routes() {
		s := route.Settings
		rows = append(rows, []any{route.Name, route.Group, accessOf(route), s.Class, s.MaxAge, s.Acknowledge})
	}
	return rows
}

func accessOf(route tree.Route) string {
	switch {
	case route.Open:
		return "open"
	case route.Team != "":
		return string(route.Team)
	default:
		return "any team"
	}
}

func fetchTree(ctx context.Context, c *cli.Command) (*tree.Tree, error) {
	operator, err := newOperatorClient(c)
	if err != nil {
		return nil, err
	}
	settings, err := operator.GetSettings(ctx)
	if err != nil {
		return nil, reportOperatorError(err)
	}
	return tree.Parse(fmt.Sprintf("version %d", settings.Version), []byte(settings.Text))
}
