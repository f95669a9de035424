package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/crocusshore/crocusshore/jsonc"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
)

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run stand-ins of the platform and of database groups, for tests only",
		Description: withExample("Serves a platform and one database group with an instance in each failure domain; a POST to\n/faults of any of them injects a fault.",
			"crocusshore standin --platform 127.0.0.1:9000 --first-port 9101 --vms docs/example/vms.json"),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Usage: "IP address and port of the platform", Value: "127.0.0.1:9000"},
			&cli.StringSliceFlag{Name: "group", Usage: "name of a database group", Value: []string{"Truss1"}},
			&cli.StringSliceFlag{Name: "domain", Usage: "failure domains, one instance in each", Value: []string{"East", "North", "West"}},
			&cli.StringFlag{Name: "vms", Usage: `file with the list of VMs, such as [{"ID":"East-01","Domain":"East","Address":"127.0.0.1:7100"}]`},
			&cli.IntFlag{Name: "first-port", Usage: "port of the first instance, the others follow; 0 takes free ports"},
			&cli.IntFlag{Name: "slots", Value: 3},
			&cli.IntFlag{Name: "connections", Value: 50},
			&cli.DurationFlag{Name: "lag", Usage: "how long a replica takes to apply a write", Value: 15 * time.Millisecond},
		},
		Action: runStandin,
	}
}

func runStandin(ctx context.Context, c *cli.Command) error {
	address, err := netip.ParseAddrPort(c.String("platform"))
	if err != nil {
		return err
	}
	platform := stand.NewPlatform(time.Second, time.Millisecond)
	if err := setVMs(platform, c.String("vms")); err != nil {
		return err
	}
	handler, err := platform.Handler()
	if err != nil {
		return err
	}
	server, err := stand.Serve(address, handler)
	if err != nil {
		return err
	}
	defer func() { _ = server.Close() }()
	groups := map[string]any{}
	port := c.Int("first-port")
	for _, name := range c.StringSlice("group") {
		group, err := standinGroup(c, name, netip.AddrPortFrom(address.Addr(), uint16(port)))
		if port > 0 {
			port += len(c.StringSlice("domain"))
		}
		if err != nil {
			return err
		}
		defer group.Close()
		groups[name] = groupSettings(c, group)
	}
	text, _ := json.MarshalIndent(map[string]any{"Groups": groups}, "", "  ")
	fmt.Printf("// The platform listens at %s. Groups for the tree of settings:\n%s\n", server.Address, text)
	<-ctx.Done()
	return nil
}

func standinGroup(c *cli.Command, name string, at netip.AddrPort) (*stand.Group, error) {
	var configs []stand.InstanceConfig
	for i, domain := range c.StringSlice("domain") {
		configs = append(configs, stand.InstanceConfig{
			Name:        model.InstanceName(rune('A' + i)),
			Domain:      model.Domain(domain),
			Slots:       c.Int("slots"),
			Connections: c.Int("connections"),
			ConnectTime: 10 * time.Millisecond,
			ServiceTime: 2 * time.Millisecond,
			ApplyLag:    c.Duration("lag"),
		})
	}
	return stand.NewGroup(model.GroupName(name), stand.NewNetwork(0), at, configs)
}

func groupSettings(c *cli.Command, group *stand.Group) map[string]any {
	instances := map[string]any{}
	for _, instance := range group.Instances {
		instances[string(instance.Name())] = map[string]any{
			"Address":     instance.Address.String(),
			"Domain":      instance.Domain(),
			"Slots":       c.Int("slots"),
			"Connections": c.Int("connections"),
		}
	}
	return map[string]any{"Instances": instances}
}

func setVMs(platform *stand.Platform, file string) error {
	if file == "" {
		platform.SetVMs(time.Now(), nil)
		return nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var vms []model.VM
	if err := json.Unmarshal(text, &vms); err != nil {
		findings := &jsonc.Findings{}
		findings.Add(jsonc.Finding{Location: jsonc.Location{File: file, Line: 1, Column: 1, Path: "/"}, Message: err.Error(), Advice: "list objects with ID, Domain and Address"})
		return findings
	}
	platform.SetVMs(time.Now(), vms)
	return nil
}
