package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// beatInterval is the check-in interval; a registration expires after three intervals of silence.
	beatInterval  = 1200 * time.Millisecond
	expiry        = 3 * beatInterval
	promoteTime   = 300 * time.Millisecond
	stepDownDelay = time.Second
	applyLag      = 20 * time.Millisecond
	darkDropTime  = 3 * time.Second
	slots         = 3
	maxConns      = 48
)

type (
	mark struct{ term, number int64 }

	entry struct {
		at     mark
		time   time.Time
		writes []write
	}

	write struct{ id, item, data string }

	// cluster is one service: its instances, and what the platform does to them.
	cluster struct {
		service string
		store   *store
		record  *record
		// work is how long a read, a write or a commit occupies a slot.
		work time.Duration

		mu        sync.Mutex
		instances []*instance
		// arrived holds the ids of the statements that reached an instance.
		arrived map[string]bool
		// promoted lists the instances that were promoted, with the end of their logs at that time.
		promoted []string
	}

	// instance is one database instance. A replica receives the log of the primary at once and applies it later.
	instance struct {
		c        *cluster
		id, zone string
		addr     string
		listener net.Listener
		slots    chan struct{}

		// The lock of the cluster guards the fields below.
		primary bool
		term    int64
		held    int64
		log     []entry
		down    bool
		dark    bool
		deaf    bool
		leaving bool
		seq     int64
		born    int64
		// checkedInAt is when the store last took a check-in, and nextBeat is when the next one is due.
		checkedInAt, nextBeat time.Time
		sessions              map[*instanceSession]struct{}
		// stepDownAt is when a primary that was replaced becomes a replica, or zero.
		stepDownAt time.Time
	}

	instanceSession struct {
		i    *instance
		conn *lineConn
		// team is who connected, and inTx, failed, readOnly and writes describe the open transaction.
		team         string
		inTx, failed bool
		readOnly     bool
		txTerm       int64
		writes       []write
		values       map[string]string
		prepared     map[string]string
		dropped      bool
	}
)

func (m mark) String() string {
	if m == (mark{}) {
		return "-"
	}
	return fmt.Sprintf("%d.%d", m.term, m.number)
}

func (m mark) before(other mark) bool {
	return m.term < other.term || (m.term == other.term && m.number < other.number)
}

func parseMark(s string) mark {
	term, number, _ := strings.Cut(s, ".")
	t, _ := strconv.ParseInt(term, 10, 64)
	n, _ := strconv.ParseInt(number, 10, 64)
	return mark{t, n}
}

// newCluster starts the instances of a service, one in each zone; the first is the primary of term 1.
func newCluster(service string, zones []string, st *store, rec *record, work time.Duration) (*cluster, error) {
	c := &cluster{service: service, store: st, record: rec, work: work, arrived: map[string]bool{}}
	for n, zone := range zones {
		i := &instance{
			c: c, id: fmt.Sprintf("i-%s-%d", service, n+1), zone: zone, primary: n == 0, term: 1, slots: make(chan struct{}, slots),
			born: time.Now().UnixMilli(), sessions: map[*instanceSession]struct{}{},
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		i.listener, i.addr = listener, listener.Addr().String()
		c.instances = append(c.instances, i)
		go i.accept(listener)
		go i.beat()
	}
	go c.replicate()
	return c, nil
}

func (c *cluster) instance(id string) *instance {
	for _, i := range c.instances {
		if i.id == id {
			return i
		}
	}
	return nil
}

// leader returns the primary of the highest term; the caller holds the lock.
func (c *cluster) leader() *instance {
	var best *instance
	for _, i := range c.instances {
		if i.primary && (best == nil || i.term > best.term) {
			best = i
		}
	}
	return best
}

// reachable reports whether other instances reach this one.
func (i *instance) reachable() bool { return !i.down && !i.dark }

func (i *instance) end() mark {
	if len(i.log) == 0 {
		return mark{}
	}
	return i.log[len(i.log)-1].at
}

// applied returns how many commits the instance has applied.
func (i *instance) applied() int {
	n := len(i.log)
	for !i.primary && n > 0 && time.Since(i.log[n-1].time) < applyLag {
		n--
	}
	return n
}

// position returns the end of the log, in the term that the instance is in. It is zero for an instance that holds and knows nothing.
func (i *instance) position() mark { return mark{i.term, i.end().number} }

// appliedMark returns the position up to which the instance has applied its log.
func (i *instance) appliedMark() mark {
	if n := i.applied(); n > 0 {
		return mark{i.term, i.log[n-1].at.number}
	}
	return mark{i.term, 0}
}

// replicate sends the logs of primaries to replicas, and makes primaries that were replaced replicas.
func (c *cluster) replicate() {
	for ; ; time.Sleep(time.Millisecond) {
		c.mu.Lock()
		for _, p := range c.instances {
			if p.primary && p.reachable() {
				for _, r := range c.instances {
					r.receive(p)
				}
			}
		}
		c.stepDown()
		c.mu.Unlock()
	}
}

func (i *instance) receive(p *instance) {
	if i == p || i.primary || !i.reachable() || i.deaf || p.term < i.term || p.term < i.held {
		return
	}
	if p.term > i.term {
		i.term = p.term
	}
	common := 0
	for common < len(i.log) && common < len(p.log) && i.log[common].at == p.log[common].at {
		common++
	}
	i.log = i.log[:common]
	for n := common; n < len(p.log); n++ {
		received := p.log[n]
		received.time = time.Now()
		i.log = append(i.log, received)
	}
}

// stepDown makes a primary a replica a second after it can reach the primary of a later term.
func (c *cluster) stepDown() {
	leader := c.leader()
	for _, i := range c.instances {
		if !i.primary || i == leader || !i.reachable() || !leader.reachable() {
			i.stepDownAt = time.Time{}
			continue
		}
		if i.stepDownAt.IsZero() {
			i.stepDownAt = time.Now().Add(stepDownDelay)
		} else if time.Now().After(i.stepDownAt) {
			i.primary, i.stepDownAt = false, time.Time{}
			i.c.record.add(i.id, "is a replica now: %s leads term %d", leader.id, leader.term)
			go i.checkIn()
		}
	}
}

// promote carries out POST /promote and returns the status of the response.
func (c *cluster) promote(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	target := c.instance(id)
	if target == nil || target.down {
		return 409
	}
	if target == c.leader() {
		return 200
	}
	time.AfterFunc(promoteTime, func() { c.lead(target) })
	return 200
}

func (c *cluster) lead(target *instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if target.down {
		return
	}
	term := int64(0)
	for _, i := range c.instances {
		term = max(term, i.term)
		i.held = 0
	}
	target.primary, target.term = true, term+1
	c.promoted = append(c.promoted, target.id)
	c.record.add(target.id, "leads term %d from now on, with its log up to %s (%d commits)", target.term, target.end(), len(target.log))
	go target.checkIn()
}

// checkIn writes the registration of the instance.
func (i *instance) checkIn() {
	i.c.mu.Lock()
	if i.down || i.dark {
		i.c.mu.Unlock()
		return
	}
	i.seq++
	role, state := "replica", "ready"
	if i.primary {
		role = "primary"
	}
	if i.leaving {
		state = "draining"
	}
	body := map[string]any{
		"Service": i.c.service, "Addr": i.addr, "Zone": i.zone, "Version": "v1", "Slots": slots, "State": state, "WarmupLeftMs": 0,
		"DbRole": role, "Seq": i.seq, "born": i.born,
	}
	i.c.mu.Unlock()
	if i.c.store.put("servers", i.id, body) {
		i.c.mu.Lock()
		i.checkedInAt = time.Now()
		i.c.mu.Unlock()
	}
}

// beat checks in at intervals, and makes the registration expire after too long a silence.
func (i *instance) beat() {
	for ; ; time.Sleep(10 * time.Millisecond) {
		i.c.mu.Lock()
		due := !time.Now().Before(i.nextBeat)
		if due {
			i.nextBeat = time.Now().Add(beatInterval)
		}
		i.c.mu.Unlock()
		if due {
			i.checkIn()
		}
		i.c.mu.Lock()
		silent := !i.checkedInAt.IsZero() && time.Since(i.checkedInAt) >= expiry
		i.c.mu.Unlock()
		if silent {
			i.c.store.remove("servers", i.id)
		}
	}
}

// beatAt sets when the instance checks in next.
func (i *instance) beatAt(at time.Time) {
	i.c.mu.Lock()
	defer i.c.mu.Unlock()
	i.nextBeat = at
}

// setDark makes the instance silent on all connections, or lets it answer again; it runs on all the while.
func (i *instance) setDark(dark bool) {
	i.c.mu.Lock()
	defer i.c.mu.Unlock()
	i.dark = dark
	i.c.record.add(i.id, "disruption: dark=%v", dark)
}

func (i *instance) setDeaf(deaf bool) {
	i.c.mu.Lock()
	defer i.c.mu.Unlock()
	i.deaf = deaf
	i.c.record.add(i.id, "disruption: receives nothing=%v; its log ends at %s", deaf, i.end())
}

// restart ends the instance and starts it again under its id after a while; it holds nothing of before.
func (i *instance) restart(away time.Duration) {
	i.c.mu.Lock()
	i.c.record.add(i.id, "disruption: restarts under its id; its log ended at %s", i.end())
	i.down = true
	for s := range i.sessions {
		s.dropped = true
		_ = s.conn.Close()
	}
	i.c.mu.Unlock()
	time.Sleep(away)
	i.c.mu.Lock()
	i.down, i.primary, i.log, i.term, i.held, i.seq, i.born = false, false, nil, 0, 0, 0, time.Now().UnixMilli()
	i.c.record.add(i.id, "started again, born %d; it holds nothing", i.born)
	i.c.mu.Unlock()
	i.checkIn()
}

func (i *instance) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go i.serve(newLineConn(conn))
	}
}

// awaitAnswerable waits while the instance is dark. It returns false if the connection has to be dropped.
func (s *instanceSession) awaitAnswerable() bool {
	since := time.Now()
	for {
		s.i.c.mu.Lock()
		down, dark := s.i.down || s.dropped, s.i.dark
		s.i.c.mu.Unlock()
		if down || (dark && time.Since(since) > darkDropTime) {
			return false
		}
		if !dark {
			return true
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (i *instance) serve(conn *lineConn) {
	s := &instanceSession{i: i, conn: conn, values: map[string]string{}, prepared: map[string]string{}}
	defer func() { _ = conn.Close() }()
	if !s.start() {
		return
	}
	defer func() {
		i.c.mu.Lock()
		delete(i.sessions, s)
		i.c.mu.Unlock()
	}()
	for {
		message, err := conn.next()
		if err != nil || !s.awaitAnswerable() {
			return
		}
		answer := s.run(message)
		if answer == nil || !s.awaitAnswerable() || conn.send(answer...) != nil {
			return
		}
	}
}

// start reads START and answers it; it returns false if the session is not opened.
func (s *instanceSession) start() bool {
	i := s.i
	message, err := s.conn.next()
	if err != nil || !s.awaitAnswerable() {
		return false
	}
	words := strings.Split(message, " ")
	if words[0] != "START" || len(words) < 3 || words[1] != i.c.service || (len(words) > 3 && words[3] != i.id) {
		i.c.record.add(i.id, "%q -> ERR MISDIRECT", message)
		_ = s.conn.send("ERR MISDIRECT " + i.id)
		return false
	}
	s.team = words[2]
	i.c.mu.Lock()
	full := len(i.sessions) >= maxConns
	if !full {
		i.sessions[s] = struct{}{}
	}
	position := i.appliedMark()
	i.c.mu.Unlock()
	if full {
		_ = s.conn.send("ERR TOOMANY " + i.id)
		return false
	}
	_ = s.conn.send("READY I " + position.String())
	return true
}

// mac returns the proof of an answer of this instance.
func (i *instance) mac(id, text string, rows []string) string {
	sum := sha256.Sum256([]byte(i.id + "\x00" + id + "\x00" + text + "\x00" + strings.Join(rows, "\x00")))
	return hex.EncodeToString(sum[:8])
}

func (s *instanceSession) state() string {
	switch {
	case s.failed:
		return "E"
	case s.inTx:
		return "T"
	}
	return "I"
}

// ready returns the READY message; the caller holds the lock.
func (s *instanceSession) ready() string {
	return "READY " + s.state() + " " + s.i.appliedMark().String()
}

func (s *instanceSession) fail(code string) []string {
	if s.inTx {
		s.failed = true
	}
	return []string{"ERR " + code + " " + s.i.id, s.ready()}
}

// run runs one QUERY and returns the messages of its answer, or nil if the connection is to be closed.
func (s *instanceSession) run(message string) []string {
	i, c := s.i, s.i.c
	word, rest, _ := strings.Cut(message, " ")
	if word != "QUERY" {
		return nil
	}
	id, text, _ := strings.Cut(rest, " ")
	since := mark{}
	if after, found := strings.CutPrefix(text, "SINCE "); found {
		position, statement, _ := strings.Cut(after, " ")
		since, text = parseMark(position), statement
	}
	verb, arguments, _ := strings.Cut(text, " ")
	switch verb {
	case "STATUS", "PAUSE", "RESUME", "DEMOTE":
		return s.runAdmin(message, verb, arguments)
	case "READ", "WRITE", "COMMIT", "EXEC":
		c.mu.Lock()
		c.arrived[id] = true
		c.mu.Unlock()
		i.slots <- struct{}{}
		time.Sleep(c.work)
		defer func() { <-i.slots }()
	}
	answer, acknowledge := s.execute(id, verb, arguments, text, since)
	if acknowledge != (mark{}) && !s.awaitReplica(acknowledge) {
		c.record.add(i.id, "%q of %s: committed at %s, not acknowledged", message, s.team, acknowledge)
		return nil
	}
	if id != "-" {
		c.record.add(i.id, "ran %q of %s -> %s", message, s.team, strings.Join(answer, " | "))
	}
	return answer
}

// awaitReplica waits until one replica has received a commit.
func (s *instanceSession) awaitReplica(at mark) bool {
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		s.i.c.mu.Lock()
		gone := s.dropped || s.i.down || s.i.dark || !s.i.primary
		received := false
		for _, r := range s.i.c.instances {
			received = received || (r != s.i && !r.primary && r.term == s.i.term && !r.end().before(at))
		}
		s.i.c.mu.Unlock()
		if gone {
			return false
		}
		if received {
			return true
		}
	}
	return false
}

func (s *instanceSession) runAdmin(message, verb, argument string) []string {
	i := s.i
	i.c.mu.Lock()
	defer i.c.mu.Unlock()
	term, _ := strconv.ParseInt(argument, 10, 64)
	switch {
	case verb == "PAUSE" && !i.primary && term > i.term:
		i.held = max(i.held, term)
	case verb == "RESUME":
		i.held = 0
	case verb == "DEMOTE" && i.primary && i.term < term:
		i.primary = false
		go i.checkIn()
	}
	role := "replica"
	if i.primary {
		role = "primary"
	}
	line := fmt.Sprintf("ROW %s %d %s %d %d %d %d", role, i.term, i.position(), i.held, applyLag.Milliseconds(), len(i.slots), len(i.sessions))
	if verb != "STATUS" {
		i.c.record.add(i.id, "order %q -> %s", message, line)
	}
	return []string{line, "DONE -", s.ready()}
}

// execute runs a statement under the lock; it also returns the position that a replica has to receive before the answer is sent.
func (s *instanceSession) execute(id, verb, arguments, text string, since mark) ([]string, mark) {
	s.i.c.mu.Lock()
	defer s.i.c.mu.Unlock()
	if code := s.refusal(verb, since); code != "" {
		return s.fail(code), mark{}
	}
	name, value, _ := strings.Cut(arguments, " ")
	switch verb {
	case "READ":
		return s.read(id, text, arguments), mark{}
	case "WRITE":
		return s.write(id, text, name, value)
	case "EXEC":
		return s.executePrepared(id, text, name, value)
	case "COMMIT":
		return s.endTransaction(id, text)
	case "BEGIN":
		if arguments != "READ" && !s.i.primary {
			return s.fail("READONLY"), mark{}
		}
		s.inTx, s.readOnly, s.txTerm, s.writes = true, arguments == "READ", s.i.term, nil
		return []string{"DONE -", s.ready()}, mark{}
	}
	if !s.setState(verb, name, value) {
		return s.fail("BADMSG"), mark{}
	}
	return []string{"DONE -", s.ready()}, mark{}
}

// refusal returns the code with which a statement is refused in the present state of the session, or nothing.
func (s *instanceSession) refusal(verb string, since mark) string {
	i := s.i
	lostLead := s.inTx && !s.readOnly && (!i.primary || i.term != s.txTerm)
	switch {
	case s.failed && verb != "ROLLBACK" && verb != "COMMIT":
		return "BADMSG"
	case since != (mark{}) && i.appliedMark().before(since):
		return "LAGGING"
	case lostLead && verb != "ROLLBACK" && (verb != "COMMIT" || len(s.writes) > 0):
		return "READONLY"
	}
	return ""
}

// setState runs a statement that concerns only the state of the session, and reports whether it is one.
func (s *instanceSession) setState(verb, name, value string) bool {
	switch verb {
	case "ROLLBACK":
		s.inTx, s.failed, s.writes = false, false, nil
	case "SET":
		s.values[name] = value
	case "RESET":
		s.values, s.prepared = map[string]string{}, map[string]string{}
	case "PREPARE":
		s.prepared[name], _, _ = strings.Cut(value, " ")
	case "DEALLOC":
		delete(s.prepared, name)
	default:
		return false
	}
	return true
}

func (s *instanceSession) executePrepared(id, text, name, arguments string) ([]string, mark) {
	item, data, _ := strings.Cut(arguments, " ")
	switch s.prepared[name] {
	case "READ":
		return s.read(id, text, item), mark{}
	case "WRITE":
		return s.write(id, text, item, data)
	}
	return s.fail("NOSTMT"), mark{}
}

func (s *instanceSession) endTransaction(id, text string) ([]string, mark) {
	if s.failed {
		s.inTx, s.failed, s.writes = false, false, nil
		return []string{"ERR FAILED", s.ready()}, mark{}
	}
	s.inTx = false
	return s.commit(id, text)
}

func (s *instanceSession) read(id, text, item string) []string {
	i := s.i
	value := "nothing"
	for _, e := range i.log[:i.applied()] {
		for _, w := range e.writes {
			if w.item == item {
				value = w.data
			}
		}
	}
	return []string{"ROW " + value, "DONE " + i.mac(id, text, []string{value}), s.ready()}
}

func (s *instanceSession) write(id, text, item, data string) ([]string, mark) {
	if !s.i.primary {
		return s.fail("READONLY"), mark{}
	}
	s.writes = append(s.writes, write{id: id, item: item, data: data})
	if s.inTx {
		return []string{"DONE " + s.i.mac(id, text, nil), s.ready()}, mark{}
	}
	return s.commit(id, text)
}

func (s *instanceSession) commit(id, text string) ([]string, mark) {
	i := s.i
	at := mark{}
	if len(s.writes) > 0 {
		at = mark{i.term, i.end().number + 1}
		i.log = append(i.log, entry{at: at, time: time.Now(), writes: s.writes})
	}
	s.writes = nil
	return []string{"DONE " + i.mac(id, text, nil), s.ready()}, at
}

// hasArrived reports whether a statement reached an instance.
func (c *cluster) hasArrived(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arrived[id]
}

// holds reports whether the log of an instance has a write of an item.
func (i *instance) holds(item string) bool {
	i.c.mu.Lock()
	defer i.c.mu.Unlock()
	for _, e := range i.log {
		for _, w := range e.writes {
			if w.item == item {
				return true
			}
		}
	}
	return false
}
