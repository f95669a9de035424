package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/platform"
	"github.com/crocusshore/crocusshore/stand"
)

const (
	// Ports of a VM, each on an address of its own.
	callersPort = 7001 + iota
	readyPort
	peersPort
	firstPort

	lastPort = firstPort + 10

	domains  = 3
	pullStep = time.Millisecond
	slack    = 20
	grace    = 3 * time.Second
	lag      = 8 * time.Millisecond
)

// site is a fleet of processes before stand-ins, with a proxy on each way between them.
type site struct {
	config   Config
	ledger   *ledger
	rows     *stand.Rows
	clusters []*stand.Cluster
	// instances are those of all clusters, at their addresses behind the proxies.
	instances []model.Instance
	vms       []*process
	// stores holds the way of each VM to the store, and links the way of each failure domain to each instance.
	stores  []*Proxy
	links   [domains]map[model.InstanceName]*Proxy
	servers []*http.Server
	socks   []net.Listener
	// ids numbers the statements of callers.
	ids   atomic.Int64
	ended context.Context
	end   context.CancelFunc
}

func domainName(i int) model.Domain { return model.Domain(string(rune('a' + i%domains))) }

func newSite(config Config) (*site, error) {
	s := &site{config: config, ledger: newLedger(), rows: stand.NewRows()}
	s.ended, s.end = context.WithCancel(context.Background())
	for d := range s.links {
		s.links[d] = map[model.InstanceName]*Proxy{}
	}
	for g := range config.Groups {
		if err := s.addGroup(g); err != nil {
			return s, err
		}
	}
	s.operate(1, keyBuilders, keyCrew)
	for i := range config.VMs {
		if err := s.addVM(i); err != nil {
			return s, err
		}
	}
	return s, nil
}

func groupName(g int) model.GroupName { return model.GroupName(fmt.Sprintf("orders-%d", g)) }

func (s *site) addGroup(g int) error {
	var members []model.Instance
	for d := range domains {
		role := model.RoleReplica
		if d == g%domains {
			role = model.RolePrimary
		}
		members = append(members, model.Instance{
			Name: model.InstanceName(fmt.Sprintf("i-%d-%d", g, d)), Group: groupName(g), Domain: domainName(d), Slots: 3, Role: role, StartedAt: time.Now(),
		})
	}
	cluster := stand.NewCluster(stand.ClusterConfig{
		Group: groupName(g), Instances: members, Lag: lag, PromoteTime: 100 * time.Millisecond, OldTime: time.Second, ServiceTime: 2 * time.Millisecond,
	})
	cluster.OnChange(func(i model.Instance) { s.announce(i) })
	s.clusters = append(s.clusters, cluster)
	go s.pull(cluster)
	for _, i := range members {
		if err := s.addInstance(cluster, i); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) pull(cluster *stand.Cluster) {
	for s.ended.Err() == nil {
		cluster.Pull(time.Now())
		time.Sleep(pullStep)
	}
}

// addInstance serves an instance, behind a proxy for each failure domain.
func (s *site) addInstance(cluster *stand.Cluster, i model.Instance) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.socks = append(s.socks, listener)
	i.Address = netip.MustParseAddrPort(listener.Addr().String())
	for d := range s.links {
		proxy, err := NewProxy(listener.Addr().String())
		if err != nil {
			return err
		}
		s.links[d][i.Name] = proxy
	}
	s.instances = append(s.instances, i)
	s.announce(i)
	go s.acceptLinks(listener, cluster, i)
	return nil
}

func (s *site) acceptLinks(listener net.Listener, cluster *stand.Cluster, i model.Instance) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			err := platform.ServeInstanceConn(conn, func(hello platform.InstanceHello) (model.InstanceConn, error) {
				if hello.Group != i.Group || (hello.Instance != "" && hello.Instance != i.Name) {
					return nil, &model.RefusedError{Fault: model.FaultMisdirected}
				}
				link, err := cluster.Dial(time.Now().Add(grace), i, hello.Team)
				if err != nil {
					return nil, err
				}
				return &checkedLink{InstanceConn: link, ledger: s.ledger, team: hello.Team, values: map[string]string{}}, nil
			})
			s.config.Log.Debug("connection ended", "instance", i.Name, "error", err)
		}()
	}
}

// announce registers an instance as it would itself.
func (s *site) announce(i model.Instance) {
	for _, known := range s.instances {
		if known.Name == i.Name {
			i.Address = known.Address
		}
	}
	body, err := platform.EncodeInstance(i)
	if err != nil {
		s.ledger.breach("registration of %s: %v", i.Name, err)
		return
	}
	s.rows.Put(platform.TableInstances, string(i.Name), body)
}

var addresses atomic.Int64

// newAddress returns a loopback address that no other VM of this process has.
func newAddress() netip.Addr {
	n := addresses.Add(1)
	return netip.AddrFrom4([4]byte{127, byte(10 + os.Getpid()%200), byte(100 + n/250), byte(1 + n%250)})
}

func (s *site) addVM(i int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	name := fmt.Sprintf("vm-%d", i)
	rows := &domainRows{store: s.rows.Client(name), links: s.links[i%domains]}
	server := &http.Server{Handler: platform.NewPlatformHandler(rows, s), ReadHeaderTimeout: grace}
	go func() { _ = server.Serve(listener) }() // It ends when it is closed.
	s.servers = append(s.servers, server)
	proxy, err := NewProxy(listener.Addr().String())
	if err != nil {
		return err
	}
	s.stores = append(s.stores, proxy)
	address := newAddress()
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(address, port) }
	vm, err := newProcess(s.config.Program, s.config.Dir, platform.Settings{
		VM: model.VMID(name), Domain: domainName(i), Address: address, Callers: at(callersPort), Ready: at(readyPort), Peers: at(peersPort),
		FirstPort: firstPort, LastPort: lastPort, Store: proxy.Address(), Promotions: proxy.Address(), Heartbeat: time.Second, Grace: grace,
		RateSlack: slack, MemoryLimit: 128 << 20,
	})
	if err != nil {
		return err
	}
	s.vms = append(s.vms, vm)
	vm.run()
	return nil
}

// Promote hands an order to the group that it is for.
func (s *site) Promote(ctx context.Context, order model.PromoteOrder) error {
	for g, cluster := range s.clusters {
		if groupName(g) == order.Group {
			return cluster.Promote(ctx, order)
		}
	}
	return errors.Newf("group %s is unknown", order.Group)
}

func (s *site) close() {
	for _, vm := range s.vms {
		vm.stop()
	}
	s.end()
	for _, server := range s.servers {
		_ = server.Close()
	}
	for _, listener := range s.socks {
		_ = listener.Close()
	}
	for _, proxy := range s.stores {
		proxy.Close()
	}
	for _, links := range s.links {
		for _, proxy := range links {
			proxy.Close()
		}
	}
}

// domainRows is the store as a failure domain sees it: its way to each instance leads through a proxy of its own.
type domainRows struct {
	store model.RowStore
	links map[model.InstanceName]*Proxy
}

func (r *domainRows) Rows(ctx context.Context, table model.TableName) (model.RowsPage, error) {
	page, err := r.store.Rows(ctx, table)
	return r.lead(table, page), err
}

func (r *domainRows) Feed(ctx context.Context, table model.TableName, after int64, wait time.Duration) (model.RowsPage, error) {
	page, err := r.store.Feed(ctx, table, after, wait)
	return r.lead(table, page), err
}

func (r *domainRows) Apply(ctx context.Context, change model.Change) (int64, error) {
	return r.store.Apply(ctx, change)
}

func (r *domainRows) lead(table model.TableName, page model.RowsPage) model.RowsPage {
	if table != platform.TableInstances {
		return page
	}
	rows := append([]model.StoredRow(nil), page.Rows...)
	for at, row := range rows {
		proxy := r.links[model.InstanceName(row.Key)]
		instance, err := platform.DecodeInstance(row.Key, row.Value)
		if proxy == nil || row.Removed || err != nil {
			continue
		}
		instance.Address = proxy.Address()
		if value, err := platform.EncodeInstance(instance); err == nil {
			rows[at].Value = value
		}
	}
	page.Rows = rows
	return page
}
