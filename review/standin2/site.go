//go:build review2

package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/platform"
	"github.com/crocusshore/crocusshore/policy"
)

const (
	heartbeat = 1200 * time.Millisecond
	grace     = 6 * time.Second
	drain     = 7 * time.Second

	callersPort = 8465
	readyPort   = 8460
	controlPort = 8462
	metricsPort = 9464
	firstPort   = 7560
	lastPort    = 7575

	// daemon is the program of the deploy file, as seen from the root of the repository.
	daemon = "target/daemon"
	// maxHosts is the number of addresses that a case may use.
	maxHosts = 6
)

// vm is a machine of the system with its process.
type vm struct {
	name, zone string
	settings   platform.Settings
	path       string
	command    *exec.Cmd
	ended      chan struct{}
}

// site holds everything around the daemons.
type site struct {
	// dir is a temporary folder, and root that of the repository.
	dir, root         string
	started           time.Time
	recordsStatements bool
	ram               int64
	fds               int

	mu       sync.Mutex
	out      *os.File
	store    *store
	services []*service
	vms      []*vm
	orders   []order
	serving  netip.AddrPort
	network  [2]byte
	hosts    byte
	version  int64
	policy   func() *policy.Policy
}

// order is a call of the duty that the promotion service received.
type order struct {
	holder, service, target string
	fence                   int64
	at                      time.Time
}

// newSite starts a site that writes record.txt to a folder.
func newSite(dir, root, recordDir string) (*site, error) {
	out, err := os.Create(filepath.Join(recordDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, root: root, started: time.Now(), out: out, store: newStore(), recordsStatements: true, ram: 206, fds: 2940}
	if err := s.chooseNetwork(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", s.address(0).String()+":0")
	if err != nil {
		return nil, err
	}
	s.serving = netip.MustParseAddrPort(listener.Addr().String())
	handler := s.store.withEra(platform.NewStandInHandler(s.store, s))
	go func() { _ = http.Serve(listener, handler) }()
	return s, nil
}

// chooseNetwork chooses loopback addresses on which the ports of the machines are free.
func (s *site) chooseNetwork() error {
	const tries = 20
	for range tries {
		s.network = [2]byte{byte(20 + rand.IntN(200)), byte(1 + rand.IntN(250))}
		if s.portsAreFree() {
			return nil
		}
	}
	return errors.New("no free ports")
}

func (s *site) portsAreFree() bool {
	for host := range byte(maxHosts) {
		for _, port := range []uint16{callersPort, readyPort, controlPort, metricsPort, firstPort} {
			listener, err := net.Listen("tcp", netip.AddrPortFrom(s.address(host), port).String())
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// address returns a loopback address of this run.
func (s *site) address(host byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, s.network[0], s.network[1], 1 + host})
}

// record writes a line to record.txt.
func (s *site) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.out, "%8.3f %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// Promote receives an order for a new primary; it implements model.Promotions.
func (s *site) Promote(_ context.Context, o model.PromoteOrder) error {
	s.mu.Lock()
	s.orders = append(s.orders, order{holder: string(o.Holder), service: string(o.Group), target: string(o.Target), fence: o.Fence, at: time.Now()})
	s.mu.Unlock()
	s.record("POST /promote X-Duty-Holder=%s X-Fence-Token=%d Service=%s Id=%s", o.Holder, o.Fence, o.Group, o.Target)
	for _, v := range s.services {
		if v.name == string(o.Group) && v.promote(string(o.Target)) {
			return nil
		}
	}
	return model.ErrConflict
}

func (s *site) allOrders() []order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]order(nil), s.orders...)
}

// addService starts the instances of a service, one in each zone; the primary is in the given one.
func (s *site) addService(name string, zones []string, primary string, applyLag func() time.Duration) (*service, error) {
	v := &service{site: s, name: name, applyLag: applyLag}
	for _, zone := range zones {
		if err := s.addInstance(v, fmt.Sprintf("i-%s-%s", name, zone), zone, zone == primary); err != nil {
			return nil, err
		}
	}
	s.services = append(s.services, v)
	go func() {
		for {
			v.replicate()
			time.Sleep(replicateInterval)
		}
	}()
	return v, nil
}

// addInstance starts an instance of a service, which registers itself at once and then at each heartbeat.
func (s *site) addInstance(v *service, name, zone string, primary bool) error {
	listener, err := net.Listen("tcp", s.address(0).String()+":0")
	if err != nil {
		return err
	}
	d := &database{service: v, name: name, zone: zone, address: listener.Addr().String(), primary: primary, born: time.Now().UnixMilli()}
	if primary {
		d.term = 1
	}
	v.mu.Lock()
	v.members = append(v.members, d)
	v.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go d.serve(conn)
		}
	}()
	go func() {
		for {
			s.register(d)
			time.Sleep(heartbeat)
		}
	}()
	return nil
}

// register writes the registration of an instance to the store.
func (s *site) register(d *database) {
	d.service.mu.Lock()
	if d.down && d.seq > 0 {
		d.service.mu.Unlock()
		return
	}
	d.seq++
	state, role := "ready", "replica"
	if d.leaving {
		state = "draining"
	}
	if d.primary {
		role = "primary"
	}
	body := fmt.Sprintf(`{"Service":%q,"Addr":%q,"Zone":%q,"Version":"1","Slots":5,"State":%q,"WarmupLeftMs":0,"Seq":%d,"DbRole":%q,"born":%d}`,
		d.service.name, d.address, d.zone, state, d.seq, role, d.born)
	d.service.mu.Unlock()
	s.store.put(platform.TableInstances, d.name, []byte(body))
}

// registerAll writes all registrations again, as instances do when the store is back.
func (s *site) registerAll() {
	for _, v := range s.services {
		v.mu.Lock()
		members := slices.Clone(v.members)
		v.mu.Unlock()
		for _, d := range members {
			s.register(d)
		}
	}
}

// putConfig writes the next version of the operator's config.
func (s *site) putConfig() error {
	s.version++
	return s.putConfigAgain()
}

// putConfigAgain writes the newest version of the operator's config once more.
func (s *site) putConfigAgain() error {
	p := s.policy()
	p.Version = s.version
	body, err := platform.EncodePolicy(p)
	if err != nil {
		return err
	}
	s.store.put(platform.TableSettings, platform.KeySettings, body)
	s.record("operator: version %d of the config is confirmed", p.Version)
	return nil
}

// addVM starts a machine with its process.
func (s *site) addVM(name, zone string) (*vm, error) {
	s.hosts++
	a := s.address(s.hosts)
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(a, port) }
	settings := platform.Settings{
		VM: model.VMID(name), Domain: model.Domain(zone), Address: a, Callers: at(callersPort), Ready: at(readyPort), Peers: at(controlPort),
		FirstPort: firstPort, LastPort: lastPort, Store: s.serving, Promotions: s.serving, Heartbeat: heartbeat, Grace: grace, Drain: drain,
		Thaw: 300 * time.Millisecond, RateSlack: 20, RateExcess: 0.1, RateWindow: 5 * time.Second, MemoryLimit: s.ram << 20, MaxFds: s.fds,
	}
	body, err := platform.EncodeSettings(settings)
	if err != nil {
		return nil, err
	}
	m := &vm{name: name, zone: zone, settings: settings, path: filepath.Join(s.dir, name+".yaml")}
	if err := os.WriteFile(m.path, body, 0o600); err != nil {
		return nil, err
	}
	s.vms = append(s.vms, m)
	return m, s.start(m)
}

func (s *site) start(m *vm) error {
	logFile, err := os.OpenFile(filepath.Join(s.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.command = exec.Command(filepath.Join(s.root, daemon))
	m.command.Dir = s.root
	m.command.Env = []string{platform.SettingsVariable + "=" + m.path, "PATH=" + os.Getenv("PATH"), "HOME=" + s.dir}
	m.command.Stdout, m.command.Stderr = logFile, logFile
	if err := m.command.Start(); err != nil {
		return err
	}
	s.record("%s started, process %d", m.name, m.command.Process.Pid)
	m.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		err := c.Wait()
		_ = logFile.Close()
		s.record("%s ended: %v", m.name, err)
		close(ended)
	}(m.command, m.ended)
	return nil
}

// awaitReady waits until the readiness probe of a machine is answered with 200.
func (m *vm) awaitReady(longest time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(longest); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		r, err := client.Get("http://" + m.settings.Ready.String() + platform.PathReady)
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", m.name)
}

// close ends all processes.
func (s *site) close() {
	for _, m := range s.vms {
		if m.command != nil && m.command.Process != nil {
			_ = m.command.Process.Kill()
			<-m.ended
		}
	}
	_ = s.out.Close()
}

// peakMemory returns the largest resident memory that a process has had, in bytes.
func peakMemory(process int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		var kb int64
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kb); n == 1 {
			return kb << 10
		}
	}
	return 0
}
