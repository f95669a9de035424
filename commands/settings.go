package commands

import (
	"context"
	"fmt"
	"os"
	"os/user"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/crocusshore/crocusshore/admin"
	"github.com/crocusshore/crocusshore/audit"
	"github.com/crocusshore/crocusshore/jsonc"
	"github.com/crocusshore/crocusshore/node"
	"github.com/crocusshore/crocusshore/platform"
	"github.com/crocusshore/crocusshore/tree"
)

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "settings",
		Usage: "check, apply and show the settings tree",
		Commands: []*cli.Command{
			settingsCheckCommand(),
			settingsApplyCommand(),
			settingsShowCommand(),
			settingsHistoryCommand(),
		},
	}
}

func settingsCheckCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "report every error in a settings file with its position",
		ArgsUsage: "FILE",
		Description: withExample("Reads only the file; no entry is called. A file that ends in .yaml or .yml is the settings file of a VM on the users' platform. "+
			"A JSON file with Services, Tenants, Limits, Version or an array of Routes holds the operators' settings there; --against and --format are for these only. "+
			"Ends with 0 if there are no errors, 1 if there are, 2 if a file cannot be read or is not JSON (YAML for a VM: 1).",
			"crocusshore settings check settings.json"),
		Flags: node.PolicyCheckFlags(),
		Action: func(_ context.Context, c *cli.Command) error {
			file, text, err := readArgument(c)
			if err != nil {
				return &audit.Failure{Status: audit.StatusUnreadable, Err: err}
			}
			extension := filepath.Ext(file)
			ofVM := extension == ".yaml" || extension == ".yml"
			flagged := c.IsSet("against") || c.IsSet("format")
			switch {
			case !ofVM && (platform.IsPolicy(file, text) || flagged && !isParsed(file, text)):
				return node.CheckPolicy(os.Stdout, file, c)
			case flagged:
				return refuseReportFlags(file)
			case ofVM:
				return checkVMSettings(file, text)
			}
			if err := checkSyntax(file, text); err != nil {
				return err
			}
			t, err := tree.Parse(file, text)
			if err != nil {
				return showFindings(err)
			}
			fmt.Printf("%s is sound: %d nodes, %d groups\n", file, len(t.Paths()), len(t.Groups()))
			return nil
		},
	}
}

// refuseReportFlags returns the failure of a command with flags that do not apply to its file.
func refuseReportFlags(file string) error {
	err := errors.WithHint(errors.Newf("%s does not hold the operators' settings of the users' platform as JSON", file),
		"--against and --format are for these only; leave them out to check another file")
	return &audit.Failure{Status: audit.StatusUnreadable, Err: err}
}

// isParsed reports whether a text is a JSON object, which may have comments.
func isParsed(file string, text []byte) bool {
	return jsonc.Parse(file, text, &jsonc.Findings{}) != nil
}

// checkSyntax prints why a text cannot be parsed.
func checkSyntax(file string, text []byte) error {
	findings := &jsonc.Findings{}
	if jsonc.Parse(file, text, findings) != nil {
		return nil
	}
	_ = showFindings(findings) // What it returns has the status of errors in a file that can be parsed.
	return &audit.Failure{Status: audit.StatusUnreadable}
}

// checkVMSettings prints every error in a VM's settings file in YAML; see platform.Settings.
func checkVMSettings(file string, text []byte) error {
	settings, err := platform.ParseSettings(text)
	if err == nil {
		fmt.Printf("%s is sound: VM %s in %s\n", file, settings.VM, settings.Domain)
		return nil
	}
	findings := platform.SplitFindings(err)
	for _, finding := range findings {
		fmt.Printf("%s: %s\n", file, finding)
	}
	fmt.Printf("%d findings\n", len(findings))
	return errReported
}

func readArgument(c *cli.Command) (file string, text []byte, err error) {
	file = c.Args().First()
	if file == "" {
		return "", nil, errors.WithHint(errors.New("the file is missing"), "give the path of the settings file")
	}
	text, err = os.ReadFile(file)
	return file, text, err
}

func showFindings(err error) error {
	var findings *jsonc.Findings
	if !errors.As(err, &findings) {
		return err
	}
	for _, finding := range findings.List() {
		fmt.Println(finding)
	}
	fmt.Printf("%d findings; nothing was applied\n", len(findings.List()))
	return errReported
}

func settingsApplyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "replace the settings tree",
		ArgsUsage: "FILE",
		Description: withExample("Returns once the change is in effect everywhere. If it stays pending, fails and names the VMs that have not acknowledged it.",
			"crocusshore settings apply settings.json --expected 41"),
		Flags: operatorFlags(&cli.Int64Flag{Name: "expected", Usage: "refuse if another operator changed the settings after this version"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			file, text, err := readArgument(c)
			if err != nil {
				return err
			}
			if _, err := tree.Parse(file, text); err != nil {
				return showFindings(err)
			}
			operator, err := newOperatorClient(c)
			if err != nil {
				return err
			}
			request := &admin.SettingsChange{Text: string(text), Author: admin.NewOptString(userName())}
			if c.IsSet("expected") {
				request.Expected = admin.NewOptInt64(c.Int64("expected"))
			}
			changed, err := operator.ApplySettings(ctx, request)
			if err != nil {
				return reportOperatorError(err)
			}
			return showChanged(changed)
		},
	}
}

func userName() string {
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return "operator"
}

func settingsShowCommand() *cli.Command {
	return &cli.Command{
		Name:        "show",
		Usage:       "print the settings tree, or the values in effect for one node",
		Description: withExample("With --effective each value comes with the ancestor that sets it.", "crocusshore settings show --effective Teams/Estimators"),
		Flags:       operatorFlags(&cli.StringFlag{Name: "effective", Usage: "a node: Fleet, Teams/NAME or Routes/NAME"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			operator, err := newOperatorClient(c)
			if err != nil {
				return err
			}
			if node := c.String("effective"); node != "" {
				return showEffective(ctx, c, operator, node)
			}
			settings, err := operator.GetSettings(ctx)
			if err != nil {
				return reportOperatorError(err)
			}
			fmt.Printf("// version %d\n%s\n", settings.Version, settings.Text)
			return nil
		},
	}
}

func showEffective(ctx context.Context, c *cli.Command, operator *admin.Client, node string) error {
	effective, err := operator.GetEffective(ctx, admin.GetEffectiveParams{Node: node})
	if err != nil {
		return reportOperatorError(err)
	}
	var rows [][]any
	for _, e := range effective {
		rows = append(rows, []any{e.Name, e.Value, e.From})
	}
	return showTable(c, effective, "SETTING\tVALUE\tFROM", rows)
}

func settingsHistoryCommand() *cli.Command {
	return &cli.Command{
		Name:        "history",
		Usage:       "list the latest changes of the view, the configuration that all VMs share",
		Description: withExample("Lists changes by operators and by the VMs themselves, newest first.", "crocusshore settings history"),
		Flags:       operatorFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			operator, err := newOperatorClient(c)
			if err != nil {
				return err
			}
			entries, err := operator.GetHistory(ctx)
			if err != nil {
				return reportOperatorError(err)
			}
			var rows [][]any
			for _, e := range entries {
				rows = append(rows, []any{e.Version, e.At.Format("2006-01-02 15:04:05"), e.Author, e.Summary})
			}
			return showTable(c, entries, "VERSION\tAT\tAUTHOR\tSUMMARY", rows)
		},
	}
}
