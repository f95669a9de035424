package bench

import (
	"context"
	"encoding/base64"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/config"
	"github.com/crocusshore/crocusshore/entry"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
)

const (
	// OperatorKey is the operator key of each Fleet that the benches and the demo start.
	OperatorKey = "demo-operator-key"

	// vmListLag is the time until a new list of VMs can be read from the platform.
	vmListLag         = time.Second
	platformLatency   = 2 * time.Millisecond
	maxIdlePerHost    = 256
	startTimeout      = 20 * time.Second
	readyPollInterval = 50 * time.Millisecond
)

var loopback = netip.MustParseAddr("127.0.0.1")

// FleetConfig configures a Fleet.
type FleetConfig struct {
	Profile Profile
	Log     *log.Logger
	// Settings is the settings tree to apply; empty takes that of the profile.
	Settings string
	// FirstPort is the caller port of the first entry; 0 takes free ports.
	FirstPort uint16
	// OnAdmitted is called for each request that a rate limit admits; it may be nil.
	OnAdmitted func(bucket string, at time.Time)
	// Meter counts the bytes that the Fleet sends and receives; it may be nil.
	Meter *meter
}

// Fleet is a complete system in one process: a stand-in platform, stand-in database groups, entries, and a caller's key for each team.
type Fleet struct {
	Profile  Profile
	Network  *stand.Network
	Platform *stand.Platform
	Groups   map[model.GroupName]*stand.Group
	Keys     map[model.TeamName]string

	log        *log.Logger
	transport  *http.Transport
	platform   *stand.Server
	settings   string
	firstPort  uint16
	onAdmitted func(bucket string, at time.Time)

	mu             sync.Mutex
	entries        []*entry.Server
	startedEntries int
}

// StartFleet starts the stand-ins and the entries and waits until they are ready, as AwaitReady does.
func StartFleet(ctx context.Context, c FleetConfig) (*Fleet, error) {
	f := &Fleet{
		Profile:    c.Profile,
		Network:    stand.NewNetwork(c.Profile.OneWayDelay),
		Platform:   stand.NewPlatform(vmListLag, platformLatency),
		Groups:     map[model.GroupName]*stand.Group{},
		Keys:       map[model.TeamName]string{},
		log:        c.Log,
		transport:  &http.Transport{MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: time.Minute},
		settings:   c.Settings,
		firstPort:  c.FirstPort,
		onAdmitted: c.OnAdmitted,
	}
	if c.Meter != nil {
		c.Meter.wrap(f.transport)
	}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	handler, err := f.Platform.Handler()
	if err != nil {
		return err
	}
	if f.platform, err = stand.Serve(netip.AddrPortFrom(loopback, 0), handler); err != nil {
		return err
	}
	f.Network.SetDomain(f.platform.Address.String(), stand.PlatformDomain)
	for _, name := range f.Profile.Groups {
		if err := f.startGroup(name); err != nil {
			return err
		}
	}
	for range f.Profile.Entries {
		if _, err := f.AddEntry(ctx); err != nil {
			return err
		}
	}
	if f.settings == "" {
		f.settings = f.SettingsText()
	}
	if err := f.ApplySettings(ctx, f.settings); err != nil {
		return err
	}
	if err := f.issueKeys(ctx); err != nil {
		return err
	}
	return f.AwaitReady(ctx)
}

func (f *Fleet) startGroup(name model.GroupName) error {
	var configs []stand.InstanceConfig
	for i, domain := range f.Profile.Domains {
		configs = append(configs, stand.InstanceConfig{
			Name:        model.InstanceName(rune('A' + i)),
			Domain:      domain,
			Slots:       f.Profile.Slots,
			Connections: f.Profile.Connections,
			ConnectTime: f.Profile.ConnectTime,
			ServiceTime: f.Profile.ServiceTime,
			ApplyLag:    f.Profile.ApplyLag,
		})
	}
	group, err := stand.NewGroup(name, f.Network, netip.AddrPortFrom(loopback, 0), configs)
	if err != nil {
		return err
	}
	f.Groups[name] = group
	return nil
}

// AddEntry starts one more entry, in the failure domain that is next in turn.
func (f *Fleet) AddEntry(ctx context.Context) (*entry.Server, error) {
	f.mu.Lock()
	number := f.startedEntries
	f.startedEntries++
	f.mu.Unlock()
	return f.startEntry(ctx, number)
}

func (f *Fleet) startEntry(ctx context.Context, number int) (*entry.Server, error) {
	domain := f.Profile.Domains[number%len(f.Profile.Domains)]
	vm := model.VMID(fmt.Sprintf("%s-%02d", domain, number/len(f.Profile.Domains)+1))
	anyPort := netip.AddrPortFrom(loopback, 0)
	callerPort := anyPort
	if f.firstPort != 0 {
		callerPort = netip.AddrPortFrom(loopback, f.firstPort+uint16(number))
	}
	server, err := entry.New(entry.Options{
		Config: config.Entry{
			VM: vm, Domain: domain,
			Caller: callerPort, Peer: anyPort, Operator: anyPort,
			Platform:    f.platform.Address,
			FleetKeys:   [][]byte{fleetKey()},
			OperatorKey: OperatorKey,
		},
		Transport:  f.Network.Transport(vm, domain, f.transport),
		Middleware: func(next http.Handler) http.Handler { return f.Network.Middleware(vm, next) },
		Log:        f.log,
		OnAdmitted: f.onAdmitted,
	})
	if err != nil {
		return nil, err
	}
	if err := server.Start(ctx); err != nil {
		return nil, err
	}
	for _, address := range []netip.AddrPort{server.CallerAddress, server.PeerAddress, server.OperatorAddress} {
		f.Network.SetDomain(address.String(), domain)
	}
	f.mu.Lock()
	f.entries = append(f.entries, server)
	f.mu.Unlock()
	f.publishVMs()
	return server, nil
}

func fleetKey() []byte {
	key, _ := base64.StdEncoding.DecodeString("ZGVtb25zdHJhdGlvbi1rZXktb2YtMzItYnl0ZXMhISE=")
	return key
}

// RemoveEntry removes an entry from the platform's list of VMs. It doesn't stop the entry.
func (f *Fleet) RemoveEntry(server *entry.Server) {
	f.mu.Lock()
	for i, other := range f.entries {
		if other == server {
			f.entries = append(f.entries[:i:i], f.entries[i+1:]...)
			break
		}
	}
	f.mu.Unlock()
	f.publishVMs()
}

func (f *Fleet) publishVMs() {
	var vms []model.VM
	for _, server := range f.Entries() {
		vms = append(vms, server.Self())
	}
	f.Platform.SetVMs(time.Now(), vms)
}

// Entries returns the entries that were started and not removed.
func (f *Fleet) Entries() []*entry.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*entry.Server(nil), f.entries...)
}

// AwaitReady waits until the view of every entry has a primary for every group, holders of quota shards, and stewards.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !f.isReady() {
		select {
		case <-ctx.Done():
			return errors.New("the fleet did not become ready in time")
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

func (f *Fleet) isReady() bool {
	for _, server := range f.Entries() {
		state := server.View()
		if len(state.QuotaShards) == 0 || len(state.Stewards.Current) == 0 {
			return false
		}
		for _, name := range f.Profile.Groups {
			if state.Placements[name].Primary == "" {
				return false
			}
		}
	}
	return true
}

// Violations returns the violations that the present entries have recorded.
func (f *Fleet) Violations() []string {
	var all []string
	for _, server := range f.Entries() {
		all = append(all, server.Violations().List()...)
	}
	return all
}

// Close kills the entries and closes the stand-ins.
func (f *Fleet) Close() {
	var wait sync.WaitGroup
	for _, server := range f.Entries() {
		wait.Go(server.Kill)
	}
	wait.Wait()
	for _, group := range f.Groups {
		group.Close()
	}
	if f.platform != nil {
		_ = f.platform.Close()
	}
	f.transport.CloseIdleConnections()
}
