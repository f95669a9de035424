package commands

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "show the state of all VMs, according to one entry",
		Description: withExample("Fails if an invariant was violated.", "crocusshore status --entry 10.0.0.7:7200"),
		Flags:       operatorFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			operator, err := newOperatorClient(c)
			if err != nil {
				return err
			}
			status, err := operator.GetStatus(ctx)
			if err != nil {
				return reportOperatorError(err)
			}
			if c.String("format") == "text" {
				fmt.Printf("seen by %s: version %d, confirmed %v, stewards %v\n", status.VM, status.Version, status.Confirmed, status.Stewards)
			}
			var rows [][]any
			for _, vm := range status.Vms {
				rows = append(rows, []any{vm.ID, vm.Domain, vm.Reachable, vm.Leaving, vm.Version, vm.ConfirmationAgeMs})
			}
			if err := showTable(c, status, "VM\tFAILURE DOMAIN\tREACHABLE\tLEAVING\tVERSION\tCONFIRMED MS AGO", rows); err != nil {
				return err
			}
			for _, violation := range status.Violations {
				fmt.Println("VIOLATION", violation)
			}
			if len(status.Violations) > 0 {
				return errReported
			}
			return nil
		},
	}
}
