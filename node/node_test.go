package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/platform"
	"github.com/crocusshore/crocusshore/stand"
)

const (
	groupName = "orders-a"
	settings  = `{"Version":%d,"Routes":[
		{"Name":"r1","Host":"revise","Type":"primary","TimeoutMs":800,"TargetLatencyMs":200,"Priority":1,"Service":"orders-a"},
		{"Name":"r2","Host":"browse","Type":"bounded","TimeoutMs":800,"TargetLatencyMs":200,"Priority":2,"Service":"orders-a","MaxStalenessMs":1500},
		{"Name":"r3","Host":"quote","Type":"read_your_writes","TimeoutMs":800,"TargetLatencyMs":200,"Priority":2,"Service":"orders-a","MaxStalenessMs":2500}],
		"Services":[{"Name":"orders-a","MaxConns":48,"SyncReplicas":1}],"Limits":{"TxIdleMs":3000},
		"Tenants":[{"Name":"builders","ApiKeys":[%s],"RatePerS":5000,"Burst":5000}]}`
)

// site is a fleet of nodes in front of stand-ins, all in this process on loopback.
type site struct {
	t       *testing.T
	rows    *stand.Rows
	cluster *stand.Cluster
	nodes   []*Node
	cancels []context.CancelFunc
	stop    chan struct{}
	pulled  sync.WaitGroup
}

func newSite(t *testing.T, vms int) *site {
	t.Helper()
	s := &site{t: t, rows: stand.NewRows(), stop: make(chan struct{})}
	var instances []model.Instance
	for i, name := range []string{"i-1", "i-2", "i-3"} {
		role := model.RoleReplica
		if i == 0 {
			role = model.RolePrimary
		}
		instances = append(instances, model.Instance{
			Name: model.InstanceName(name), Group: groupName, Domain: model.Domain(string(rune('a' + i))), Slots: 3, Role: role,
			Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(5000+i)),
		})
	}
	s.cluster = stand.NewCluster(stand.ClusterConfig{
		Group: groupName, Instances: instances, Lag: 5 * time.Millisecond, PromoteTime: 50 * time.Millisecond, OldTime: 300 * time.Millisecond,
	})
	s.cluster.OnChange(func(i model.Instance) { s.announce(i, "ready") })
	s.operate(1, `"key-1"`)
	for _, i := range instances {
		s.announce(i, "ready")
	}
	s.pulled.Go(s.pull)
	for i := range vms {
		s.start(i)
	}
	t.Cleanup(s.close)
	require.Eventually(t, s.ready, 5*time.Second, 20*time.Millisecond, "the nodes become ready")
	return s
}

func (s *site) pull() {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(time.Millisecond):
			s.cluster.Pull(time.Now())
		}
	}
}

func (s *site) operate(version int, keys string) {
	s.rows.Put(platform.TableSettings, platform.KeySettings, fmt.Appendf(nil, settings, version, keys))
}

// announce registers an instance as it would itself.
func (s *site) announce(i model.Instance, state string) {
	body, err := json.Marshal(map[string]any{
		"Service": i.Group, "Addr": i.Address.String(), "Zone": i.Domain, "Slots": i.Slots, "State": state, "DbRole": strings.ToLower(string(i.Role)),
	})
	if err != nil {
		panic(err)
	}
	s.rows.Put(platform.TableInstances, string(i.Name), body)
}

// freePort returns an address of loopback that was free just now.
func freePort(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func (s *site) start(i int) {
	name := fmt.Sprintf("vm-%d", i)
	address := netip.MustParseAddr("127.0.0.1")
	n := New(Config{
		Settings: platform.Settings{
			VM: model.VMID(name), Domain: model.Domain(string(rune('a' + i%3))), Address: address, Callers: freePort(s.t), Ready: freePort(s.t),
			Peers: freePort(s.t), FirstPort: freePort(s.t).Port(), Grace: 3 * time.Second, RateSlack: 20,
		},
		Dialer: s.cluster, OpenRows: func() model.Rows { return s.rows.Client(name) }, Promotions: s.cluster,
		Log: log.New(io.Discard), Scope: tally.NoopScope, Metrics: freePort(s.t), MetricsHandler: http.NotFoundHandler(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	s.nodes = append(s.nodes, n)
	s.cancels = append(s.cancels, cancel)
	go func() { _ = n.Run(ctx) }()
}

func (s *site) ready() bool {
	for _, n := range s.nodes {
		response, err := http.Get("http://" + n.config.Settings.Ready.String() + platform.PathReady)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK || len(n.world.State().VMs) < len(s.nodes) || len(n.world.State().Group(groupName)) < 3 {
			return false
		}
	}
	return true
}

func (s *site) close() {
	for _, cancel := range s.cancels {
		cancel()
	}
	close(s.stop)
	s.pulled.Wait()
	require.Empty(s.t, s.cluster.Breaches())
}

// client is a caller's session.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

func (s *site) dial(node int, database, key string) (*client, error) {
	conn, err := net.Dial("tcp", s.nodes[node].config.Settings.Callers.String())
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, in: bufio.NewReader(conn)}
	if _, err := fmt.Fprintf(conn, "START %s %s\r\n", database, key); err != nil {
		return nil, err
	}
	line, err := c.in.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY I") {
		_ = conn.Close()
		return nil, fmt.Errorf("session refused: %q %w", line, io.EOF)
	}
	return c, nil
}

var ids atomic.Int64

// ask runs a statement and returns its rows and the end of the answer.
func (c *client) ask(text string) (id string, rows []string, end string, err error) {
	id = fmt.Sprintf("q%d", ids.Add(1))
	if err := c.conn.SetDeadline(time.Now().Add(3 * time.Second)); err != nil {
		return id, nil, "", err
	}
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return id, nil, "", err
	}
	for {
		line, err := c.in.ReadString('\n')
		if err != nil {
			return id, rows, end, err
		}
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "ROW"):
			rows = append(rows, strings.TrimSpace(strings.TrimPrefix(line, "ROW")))
		case strings.HasPrefix(line, "READY"):
			return id, rows, end, nil
		default:
			end = line
		}
	}
}

// must runs a statement that succeeds.
func (c *client) must(t *testing.T, text string) []string {
	t.Helper()
	_, rows, end, err := c.ask(text)
	require.NoError(t, err)
	require.True(t, strings.HasPrefix(end, "DONE"), "%s: %s", text, end)
	return rows
}

func TestSessionReadsWhatItWroteThroughAnyNode(t *testing.T) {
	s := newSite(t, 3)
	for node := range 3 {
		c, err := s.dial(node, "quote", "key-1")
		require.NoError(t, err)
		for i := range 10 {
			value := fmt.Sprintf("%d-%d", node, i)
			c.must(t, "WRITE item "+value)
			require.Equal(t, []string{value}, c.must(t, "READ item"))
		}
	}
}

func TestTransactionsPreparedStatementsAndValues(t *testing.T) {
	s := newSite(t, 1)
	c, err := s.dial(0, "revise", "key-1")
	require.NoError(t, err)
	c.must(t, "SET zone a")
	c.must(t, "PREPARE w WRITE q1")
	c.must(t, "PREPARE r READ q2")
	c.must(t, "BEGIN")
	c.must(t, "EXEC w item one")
	c.must(t, "ROLLBACK")
	require.Equal(t, []string{""}, c.must(t, "EXEC r item "))
	c.must(t, "BEGIN")
	c.must(t, "EXEC w item two")
	c.must(t, "COMMIT")
	require.Equal(t, []string{"two"}, c.must(t, "READ item"))
	_, _, end, err := c.ask("EXEC unknown item")
	require.NoError(t, err)
	require.Contains(t, end, "ERR NOSTMT")
	_, _, end, err = c.ask("COMMIT")
	require.NoError(t, err)
	require.Contains(t, end, "ERR BADMSG")
}

func TestKeysAndDatabasesThatDoNotExistAreRefused(t *testing.T) {
	s := newSite(t, 1)
	_, err := s.dial(0, "revise", "key-9")
	require.ErrorContains(t, err, "NOAUTH")
	_, err = s.dial(0, "nowhere", "key-1")
	require.ErrorContains(t, err, "NODB")
}

func TestWithdrawnKeyStopsWorkingForAnOpenSession(t *testing.T) {
	s := newSite(t, 1)
	c, err := s.dial(0, "revise", "key-1")
	require.NoError(t, err)
	c.must(t, "WRITE item a")
	s.operate(2, `"key-2"`)
	require.Eventually(t, func() bool { return s.nodes[0].world.State().Policy.Version == 2 }, time.Second, 5*time.Millisecond)
	_, _, end, err := c.ask("WRITE item b")
	require.NoError(t, err)
	require.Contains(t, end, "ERR NOAUTH")
}

// workload writes through all nodes until it is stopped, and returns the ids that were acknowledged and those whose outcome is open.
type workload struct {
	mu                     sync.Mutex
	acked, refused, doubts []string
	stale                  []string
	lastAck                time.Time
	longestGap             time.Duration
	stop                   chan struct{}
	done                   sync.WaitGroup
}

func (s *site) work() *workload {
	w := &workload{stop: make(chan struct{}), lastAck: time.Now()}
	for node := range s.nodes {
		for range 2 {
			w.done.Go(func() { w.session(s, node) })
		}
	}
	return w
}

func (w *workload) session(s *site, node int) {
	for {
		c, err := s.dial(node, "quote", "key-1")
		for err == nil {
			select {
			case <-w.stop:
				_ = c.conn.Close()
				return
			default:
			}
			err = w.step(c)
		}
		select {
		case <-w.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (w *workload) step(c *client) error {
	value := fmt.Sprintf("v%d", ids.Add(1))
	id, _, end, err := c.ask("WRITE item-" + value + " " + value)
	w.mu.Lock()
	switch {
	case err == nil && strings.HasPrefix(end, "DONE"):
		w.acked = append(w.acked, id)
		w.longestGap = max(w.longestGap, time.Since(w.lastAck))
		w.lastAck = time.Now()
	case err == nil && !strings.Contains(end, "INDOUBT") && !strings.Contains(end, "TIMEOUT"):
		w.refused = append(w.refused, id)
	default:
		w.doubts = append(w.doubts, id)
	}
	w.mu.Unlock()
	if err != nil || !strings.HasPrefix(end, "DONE") {
		return err
	}
	_, rows, end, err := c.ask("READ item-" + value)
	if err == nil && strings.HasPrefix(end, "DONE") && (len(rows) != 1 || rows[0] != value) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.stale = append(w.stale, fmt.Sprintf("session wrote %s and read %v", value, rows))
	}
	return err
}

// finish stops the workload and checks that each acknowledged write is there once and no refused one is.
func (w *workload) finish(t *testing.T, s *site) {
	t.Helper()
	close(w.stop)
	w.done.Wait()
	for _, id := range w.acked {
		require.Equal(t, 1, s.cluster.Count(model.RequestID(id)), "acknowledged write %s", id)
	}
	for _, id := range w.refused {
		require.Zero(t, s.cluster.Count(model.RequestID(id)), "refused write %s", id)
	}
	for _, id := range w.doubts {
		require.LessOrEqual(t, s.cluster.Count(model.RequestID(id)), 1, "write %s with an open outcome", id)
	}
	t.Logf("%d acknowledged, %d refused, %d open, longest gap %s", len(w.acked), len(w.refused), len(w.doubts), w.longestGap.Round(time.Millisecond))
	require.NotEmpty(t, w.acked)
	require.Empty(t, w.stale)
}

// serves tells whether a write succeeds through a node.
func (s *site) serves(node int) bool {
	c, err := s.dial(node, "revise", "key-1")
	if err != nil {
		return false
	}
	defer func() { _ = c.conn.Close() }()
	_, _, end, err := c.ask("WRITE probe x")
	return err == nil && strings.HasPrefix(end, "DONE")
}

func TestPrimaryFails(t *testing.T) {
	for name, fault := range map[string]stand.DatabaseFaults{
		"crash": {Down: true},
		"dark":  {Dark: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 3)
			w := s.work()
			time.Sleep(300 * time.Millisecond)
			s.cluster.SetFaults("i-1", fault)
			require.Eventually(t, func() bool { p, term := s.cluster.Primary(); return p != "i-1" && term == 2 }, 8*time.Second, 10*time.Millisecond)
			require.Eventually(t, func() bool { return s.serves(0) && s.serves(1) && s.serves(2) }, 3*time.Second, 20*time.Millisecond)
			s.cluster.SetFaults("i-1", stand.DatabaseFaults{})
			time.Sleep(200 * time.Millisecond)
			w.finish(t, s)
		})
	}
}

func TestPrimaryLeaves(t *testing.T) {
	s := newSite(t, 3)
	w := s.work()
	time.Sleep(300 * time.Millisecond)
	s.announce(model.Instance{Name: "i-1", Group: groupName, Domain: "a", Slots: 3, Role: model.RolePrimary, Address: netip.MustParseAddrPort("10.0.0.1:5000")}, "draining")
	require.Eventually(t, func() bool { p, _ := s.cluster.Primary(); return p != "" && p != "i-1" }, 4*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool { return s.serves(0) && s.serves(1) && s.serves(2) }, 3*time.Second, 20*time.Millisecond)
	w.finish(t, s)
}

func TestDeafReplicaThenCrash(t *testing.T) {
	s := newSite(t, 3)
	w := s.work()
	s.cluster.SetFaults("i-2", stand.DatabaseFaults{Deaf: true})
	time.Sleep(300 * time.Millisecond)
	s.cluster.SetFaults("i-1", stand.DatabaseFaults{Down: true})
	require.Eventually(t, func() bool { p, _ := s.cluster.Primary(); return p == "i-3" }, 8*time.Second, 10*time.Millisecond, "only i-3 has every acknowledged commit")
	s.cluster.SetFaults("i-2", stand.DatabaseFaults{})
	require.Eventually(t, func() bool { return s.serves(0) }, 3*time.Second, 20*time.Millisecond)
	w.finish(t, s)
}

func TestStoreIsAwayForAll(t *testing.T) {
	s := newSite(t, 3)
	w := s.work()
	time.Sleep(500 * time.Millisecond)
	s.rows.SetFaults(stand.RowsFaults{Away: true})
	time.Sleep(2 * leaseBound)
	require.True(t, s.serves(0) && s.serves(1) && s.serves(2), "the replicas are witnesses")
	s.rows.SetFaults(stand.RowsFaults{})
	time.Sleep(300 * time.Millisecond)
	require.True(t, s.serves(0))
	w.finish(t, s)
}

func TestStoreTurnsOneNodeAway(t *testing.T) {
	s := newSite(t, 3)
	s.rows.SetFaults(stand.RowsFaults{AwayFor: map[string]bool{"vm-1": true}})
	time.Sleep(700 * time.Millisecond)
	s.operate(2, `"key-2"`)
	require.Eventually(t, func() bool { return s.nodes[1].world.State().Policy.Version == 2 }, 3*time.Second, 10*time.Millisecond, "peers pass the settings on")
	_, err := s.dial(1, "revise", "key-1")
	require.ErrorContains(t, err, "NOAUTH")
	_, err = s.dial(1, "revise", "key-2")
	require.NoError(t, err)
}

func TestStoreLosesAnswersAndItsHistoryWhileThePrimaryFails(t *testing.T) {
	s := newSite(t, 3)
	w := s.work()
	s.rows.SetFaults(stand.RowsFaults{LoseAnswers: 0.5, Latency: 5 * time.Millisecond})
	s.cluster.SetFaults("i-1", stand.DatabaseFaults{Down: true})
	time.Sleep(200 * time.Millisecond)
	s.rows.Forget()
	require.Eventually(t, func() bool { p, _ := s.cluster.Primary(); return p != "" && p != "i-1" }, 20*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool { return s.serves(0) && s.serves(1) && s.serves(2) }, 15*time.Second, 20*time.Millisecond)
	w.finish(t, s)
}
