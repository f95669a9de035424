package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/platform"
	"github.com/crocusshore/crocusshore/stand"
)

const (
	// The ports of a VM are the same on all VMs, because each VM has an address of its own.
	callersPort = 7001 + iota
	readyPort
	peersPort
	firstPort

	lastPort = firstPort + 10

	domainCount       = 3
	replicateInterval = time.Millisecond
	// rateSlack is how many operations of a team beyond its rate and burst all VMs together may admit in a window.
	rateSlack = 20
	// openTimeout bounds dialing an instance and reading a header.
	openTimeout = 3 * time.Second
	// orderReadTimeout bounds reading the header of an order; it exceeds the longest fault of a path, which delivers the order at its end.
	orderReadTimeout = 20 * time.Second
	replicationLag   = 8 * time.Millisecond
)

// site holds the VMs' processes, the stand-ins of the platform and the databases, and a proxy on each path from a VM to the store and
// from a failure domain to an instance.
type site struct {
	config   Config
	history  *history
	rows     *stand.Rows
	clusters []*stand.Cluster
	// orders takes the orders for new primaries of all groups, and orderListener accepts the connections to it.
	orders        *stand.Orders
	orderListener *pausableListener
	// sentOrders holds the orders that the VMs sent, and callersEndedAt is when the callers ended.
	sentOrders     orderLog
	callersEndedAt time.Time
	// instances holds the instances of all clusters, with the addresses that the proxies connect to.
	instances []model.Instance
	// stock holds the items of each group that have values from the beginning.
	stock map[model.GroupName][]string
	vms   []*process
	// storeProxies and orderProxies hold the paths of each VM to the store and to the promotion service, and instanceProxies the path of each
	// failure domain to each instance.
	storeProxies    []*Proxy
	orderProxies    []*Proxy
	instanceProxies [domainCount]map[model.InstanceName]*Proxy
	servers         []*http.Server
	listeners       []net.Listener
	// lastID is the last number that was given to a statement or to a caller that probes a VM.
	lastID atomic.Int64
	// settingsVersion is the newest version of the settings in the store.
	settingsVersion atomic.Int64
	// balancer chooses the VMs of callers in runs of planned work; nil in others.
	balancer *balancer
	// databaseFaults holds the faults of the instances that are active now.
	databaseFaults map[model.InstanceName]stand.DatabaseFaults
	// storeOutages holds, for each VM, whether the store is unavailable for it.
	storeOutages []interruption
	// evacuations holds the failure domains that are evacuated, and starts the instances that were started again.
	evacuations evacuations
	starts      starts
	// extraRoutes is the number of routes that no caller uses in the newest version of the settings.
	extraRoutes int
	// unanswered is the number of violations that the check of answers found.
	unanswered int
	// ctx ends when the site is closed.
	ctx    context.Context
	cancel context.CancelFunc
}

func domainName(i int) model.Domain { return model.Domain(string(rune('a' + i%domainCount))) }

func instanceName(group, domain int) model.InstanceName {
	return model.InstanceName(fmt.Sprintf("i-%d-%d", group, domain))
}

// newSite starts a site. The result is never nil and has to be closed even after an error.
func newSite(config Config) (*site, error) {
	s := &site{
		config: config, history: newHistory(), rows: stand.NewRows(), orders: stand.NewOrders(config.Seed), stock: map[model.GroupName][]string{},
		storeOutages: make([]interruption, config.VMs), evacuations: evacuations{acceptedAt: map[model.Domain]time.Time{}},
	}
	if config.Evacuations {
		s.history.onUse = s.checkUse
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if err := s.serveOrders(); err != nil {
		return s, err
	}
	for d := range s.instanceProxies {
		s.instanceProxies[d] = map[model.InstanceName]*Proxy{}
	}
	for g := range config.Groups {
		if err := s.addGroup(g); err != nil {
			return s, err
		}
	}
	s.putSettings(routeLimits{timeout: routeTimeout, txIdle: txIdle}, keyBuilders, keyCrew)
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
	for d := range domainCount {
		role := model.RoleReplica
		if d == g%domainCount {
			role = model.RolePrimary
		}
		members = append(members, model.Instance{
			Name: instanceName(g, d), Group: groupName(g), Domain: domainName(d), Slots: s.config.slots(), Role: role,
			StartedAt: time.Now(),
		})
	}
	cluster := stand.NewCluster(stand.ClusterConfig{
		Group: groupName(g), Instances: members, ReplicationLag: replicationLag, PromoteTime: 100 * time.Millisecond, StepDownDelay: time.Second,
		FollowDelay: s.config.followDelay(), ServiceTime: 2 * time.Millisecond, Seed: s.config.Seed + uint64(g)<<32,
	})
	cluster.OnChange(func(i model.Instance) { s.register(i) })
	s.clusters = append(s.clusters, cluster)
	s.orders.Add(cluster)
	go s.replicate(cluster)
	for _, i := range members {
		if err := s.addInstance(cluster, i); err != nil {
			return err
		}
	}
	return s.addStock(cluster, members[g%domainCount])
}

func (s *site) replicate(cluster *stand.Cluster) {
	for s.ctx.Err() == nil {
		cluster.Replicate(time.Now())
		time.Sleep(replicateInterval)
	}
}

// addInstance serves an instance on a free port, registers it, and starts a proxy to it for each failure domain.
func (s *site) addInstance(cluster *stand.Cluster, i model.Instance) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.listeners = append(s.listeners, listener)
	i.Address = netip.MustParseAddrPort(listener.Addr().String())
	for d := range s.instanceProxies {
		proxy, err := NewProxy(listener.Addr().String())
		if err != nil {
			return err
		}
		s.instanceProxies[d][i.Name] = proxy
	}
	s.instances = append(s.instances, i)
	s.register(i)
	go s.acceptConns(listener, cluster, i)
	return nil
}

func (s *site) acceptConns(listener net.Listener, cluster *stand.Cluster, i model.Instance) {
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
				instanceConn, err := cluster.Dial(time.Now().Add(openTimeout), i, hello.Team)
				if err != nil {
					return nil, err
				}
				return newCheckedConn(instanceConn, s.history, hello.Team, i.Name), nil
			})
			s.config.Log.Debug("connection ended", "instance", i.Name, "error", err)
		}()
	}
}

// register writes the registration of an instance to the store, as the instance would.
func (s *site) register(i model.Instance) {
	for _, registered := range s.instances {
		if registered.Name == i.Name {
			i.Address = registered.Address
		}
	}
	body, err := platform.EncodeInstance(s.starts.apply(i, time.Now()))
	if err != nil {
		s.history.addViolation("registration of %s: %v", i.Name, err)
		return
	}
	s.rows.Put(platform.TableInstances, string(i.Name), body)
}

// setStoreFaults replaces the faults of the store and records for which VMs it is unavailable.
func (s *site) setStoreFaults(faults stand.RowsFaults) {
	s.rows.SetFaults(faults)
	for n := range s.storeOutages {
		s.storeOutages[n].set(faults.Unavailable || faults.UnavailableFor[fmt.Sprintf("vm-%d", n)], time.Now())
	}
}

var addressCount atomic.Int64

// newAddress returns a loopback address that no other VM of this process has. Soaks that run at once use other ranges, unless their process ids
// happen to map to the same one.
func newAddress() netip.Addr {
	const firstRange, ranges, vmsPerRange = 100, 156, 250
	pid, n := int64(os.Getpid()), addressCount.Add(1)
	return netip.AddrFrom4([4]byte{127, byte(10 + pid%200), byte(firstRange + (pid/200+n/vmsPerRange)%ranges), byte(1 + n%vmsPerRange)})
}

func (s *site) addVM(i int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	name := fmt.Sprintf("vm-%d", i)
	rows := &domainStore{store: s.rows.Client(name), proxies: s.instanceProxies[i%domainCount]}
	server := &http.Server{Handler: platform.NewStandInHandler(rows, s.orders), ReadHeaderTimeout: openTimeout}
	go func() { _ = server.Serve(listener) }() // It ends when it is closed.
	s.servers = append(s.servers, server)
	proxy, err := NewProxy(listener.Addr().String())
	if err != nil {
		return err
	}
	s.storeProxies = append(s.storeProxies, proxy)
	orders, err := newProxy(s.orderListener.Addr().String(), s.sentOrders.observe(model.VMID(name)))
	if err != nil {
		return err
	}
	s.orderProxies = append(s.orderProxies, orders)
	address := newAddress()
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(address, port) }
	vm, err := newProcess(s.config.Program, s.config.Dir, platform.Settings{
		VM: model.VMID(name), Domain: domainName(i), Address: address, Callers: at(callersPort), Ready: at(readyPort), Peers: at(peersPort),
		FirstPort: firstPort, LastPort: lastPort, Store: proxy.Address(), Promotions: orders.Address(), Heartbeat: time.Second, Grace: s.config.grace(),
		RateSlack: rateSlack, MemoryLimit: 128 << 20,
	})
	if err != nil {
		return err
	}
	s.vms = append(s.vms, vm)
	vm.run()
	return nil
}

// serveOrders serves the promotion service on a listener of its own.
func (s *site) serveOrders() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.orderListener = newPausableListener(listener)
	server := &http.Server{Handler: platform.NewStandInHandler(s.rows.Client("orders"), s.orders), ReadHeaderTimeout: orderReadTimeout}
	go func() { _ = server.Serve(s.orderListener) }() // It ends when it is closed.
	s.servers = append(s.servers, server)
	return nil
}

func (s *site) close() {
	for _, vm := range s.vms {
		vm.stop()
	}
	s.cancel()
	for _, server := range s.servers {
		_ = server.Close()
	}
	for _, listener := range s.listeners {
		_ = listener.Close()
	}
	for _, proxy := range slices.Concat(s.storeProxies, s.orderProxies) {
		proxy.Close()
	}
	for _, links := range s.instanceProxies {
		for _, proxy := range links {
			proxy.Close()
		}
	}
}
