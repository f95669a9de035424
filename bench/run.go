package bench

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/crocusshore/crocusshore/load"
	"github.com/crocusshore/crocusshore/model"
)

// CallerAddresses returns the addresses at which callers reach the entries.
func (f *Fleet) CallerAddresses() []netip.AddrPort {
	entries := f.Entries()
	addresses := make([]netip.AddrPort, 0, len(entries))
	for _, server := range entries {
		addresses = append(addresses, server.CallerAddress)
	}
	return addresses
}

// Transport returns the transport for requests of callers to the entries.
func (f *Fleet) Transport() http.RoundTripper { return f.transport }

// LoadConfig returns a workload with a total rate in requests per second, divided among the teams by their weights.
func (f *Fleet) LoadConfig(seed uint64, rate, writeShare float64) load.Config {
	total := 0.0
	for _, team := range f.Profile.Teams {
		total += team.LoadWeight
	}
	config := load.Config{
		Transport:  f.transport,
		Entries:    f.CallerAddresses,
		Groups:     f.Profile.Groups,
		WriteShare: writeShare,
		Roam:       0.3,
		Sessions:   24,
		Deadline:   5 * time.Second,
		Seed:       seed,
		Route: func(_ model.TeamName, group model.GroupName, _ bool) model.RouteName {
			return RouteOf(KindOrders, group)
		},
	}
	for _, team := range f.Profile.Teams {
		config.Teams = append(config.Teams, load.Team{Name: team.Name, Key: f.Keys[team.Name], Rate: rate * team.LoadWeight / total})
	}
	return config
}
