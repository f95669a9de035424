package commands

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/crocusshore/crocusshore/admin"
)

// operatorKeyVariable is the environment variable that holds the operator key. A flag would show the key in process lists.
const operatorKeyVariable = "CROCUSSHORE_OPERATOR_KEY"

// operatorFlags returns the flags of a command that calls the operator interface: the common ones, followed by its own in more.
func operatorFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "entry", Usage: "operator address of any entry", Value: "127.0.0.1:7200"},
		&cli.StringFlag{Name: "scheme", Usage: "http, or https where the entries have certificates", Value: "http"},
		authorityFlag(),
		&cli.StringFlag{Name: "format", Usage: "text or json", Value: "text"},
	}, more...)
}

type operatorKey string

// OperatorKey implements admin.SecuritySource.
func (k operatorKey) OperatorKey(context.Context, admin.OperationName) (admin.OperatorKey, error) {
	return admin.OperatorKey{Token: string(k)}, nil
}

func newOperatorClient(c *cli.Command) (*admin.Client, error) {
	return newOperatorClientAt(c, c.String("entry"))
}

func newOperatorClientAt(c *cli.Command, entry string) (*admin.Client, error) {
	key := os.Getenv(operatorKeyVariable)
	if key == "" {
		return nil, errors.WithHintf(errors.New("the operator key is missing"), "set %s to the OperatorKey of the entry's settings", operatorKeyVariable)
	}
	client, err := operatorHTTPClient(c.String("authority"))
	if err != nil {
		return nil, err
	}
	return admin.NewClient(c.String("scheme")+"://"+entry, operatorKey(key), admin.WithClient(client))
}

func authorityFlag() cli.Flag {
	return &cli.StringFlag{Name: "authority", Usage: "PEM file of the authority that signed the entries' certificates; by default the authorities that this machine trusts"}
}

// operatorHTTPClient returns a client that trusts only the certificate authority in a PEM file, or the default client if no file is given.
func operatorHTTPClient(authority string) (*http.Client, error) {
	if authority == "" {
		return http.DefaultClient, nil
	}
	pem, err := os.ReadFile(authority)
	if err != nil {
		return nil, errors.WithHint(err, "check --authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("%s holds no PEM certificate", authority)
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: roots}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: config}}, nil
}

// reportOperatorError prints the findings of an entry that refused a request, and returns an error with the reason and the detail of the
// refusal. Any other error is returned with a hint.
func reportOperatorError(err error) error {
	var problem *admin.ProblemStatusCode
	if !errors.As(err, &problem) {
		return errors.WithHint(err, "check --entry and whether the entry runs")
	}
	document := problem.Response
	for _, f := range document.Findings {
		fmt.Fprintf(os.Stderr, "%d:%d: %s: %s; %s\n", f.Line, f.Column, f.Path, f.Message, f.Advice)
	}
	return errors.Newf("%s: %s", document.Reason, document.Detail)
}

// showTable prints rows as aligned text, or the value as JSON.
func showTable(c *cli.Command, value any, header string, rows [][]any) error {
	if c.String("format") == "json" {
		return showJSON(value)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	lines := []string{header}
	for _, row := range rows {
		cells := make([]string, 0, len(row))
		for _, cell := range row {
			cells = append(cells, fmt.Sprint(cell))
		}
		lines = append(lines, strings.Join(cells, "\t"))
	}
	if _, err := fmt.Fprintln(w, strings.Join(lines, "\n")); err != nil {
		return err
	}
	return w.Flush()
}

func showJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// showChanged prints whether a change is in effect everywhere, and returns errReported if it is not.
func showChanged(changed *admin.Changed) error {
	if changed.InForce {
		fmt.Printf("version %d is in force everywhere\n", changed.Version)
		return nil
	}
	fmt.Printf("version %d is stored and PENDING; not yet told: %v\n", changed.Version, changed.Missing)
	return errReported
}
