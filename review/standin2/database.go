//go:build review2

package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// receiveDelay is the time between a commit and its receipt by a replica.
	receiveDelay = time.Millisecond
	// promoteTime is the time between an order and the promotion.
	promoteTime = 300 * time.Millisecond
	// stepDownDelay is how long an old primary goes on after it can reach the new one.
	stepDownDelay = time.Second
	// replicateInterval is the interval at which replicas catch up.
	replicateInterval = 5 * time.Millisecond
)

// mark is a log position.
type mark struct{ term, number int64 }

func (m mark) before(o mark) bool {
	return m.term < o.term || (m.term == o.term && m.number < o.number)
}

func (m mark) String() string {
	if m == (mark{}) {
		return "-"
	}
	return fmt.Sprintf("%d.%d", m.term, m.number)
}

type write struct{ item, data string }

// entry is a commit in the log of an instance, which applies it at applyAt.
type entry struct {
	mark    mark
	id      string
	writes  []write
	applyAt time.Time
}

// database is one instance of a service.
type database struct {
	service             *service
	name, zone, address string
	primary             bool
	leaving             bool
	term, pausedTerm    int64
	log                 []entry
	seq                 int
	born                int64
	// down is set while the process is down; conns are its open connections.
	down  bool
	conns map[net.Conn]bool
}

// service is a primary with its replicas.
type service struct {
	site *site
	name string
	// applyLag draws the time between the receipt of a commit by a replica and its application there.
	applyLag func() time.Duration
	mu       sync.Mutex
	members  []*database
	proofs   int
}

func (d *database) end() mark {
	if len(d.log) == 0 {
		return mark{}
	}
	return d.log[len(d.log)-1].mark
}

// applied returns how many entries of the log are applied.
func (d *database) applied(now time.Time) int {
	n := len(d.log)
	for n > 0 && !d.primary && now.Before(d.log[n-1].applyAt) {
		n--
	}
	return n
}

func (d *database) appliedEnd(now time.Time) mark {
	if n := d.applied(now); n > 0 {
		return d.log[n-1].mark
	}
	return mark{}
}

func (d *database) read(now time.Time, item string) string {
	value := "none"
	for _, e := range d.log[:d.applied(now)] {
		for _, w := range e.writes {
			if w.item == item {
				value = w.data
			}
		}
	}
	return value
}

// leader returns the primary of the highest term; the caller holds the lock.
func (s *service) leader() *database {
	var best *database
	for _, d := range s.members {
		if d.primary && (best == nil || d.term > best.term) {
			best = d
		}
	}
	return best
}

// replicate lets replicas that are not paused for a later term receive what the primary has.
func (s *service) replicate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.leader()
	if p == nil {
		return
	}
	now := time.Now()
	for _, d := range s.members {
		if d.primary || d.down || p.down || p.term < d.pausedTerm || p.term < d.term {
			continue
		}
		if d.term < p.term {
			d.term, d.pausedTerm = p.term, 0
		}
		same := 0
		for same < len(d.log) && same < len(p.log) && d.log[same].mark == p.log[same].mark {
			same++
		}
		d.log = d.log[:same]
		for _, e := range p.log[same:] {
			e.applyAt = now.Add(s.applyLag())
			if n := len(d.log); n > 0 && e.applyAt.Before(d.log[n-1].applyAt) {
				e.applyAt = d.log[n-1].applyAt // A replica applies its log in order.
			}
			d.log = append(d.log, e)
		}
	}
}

// promote makes an instance the primary of the next term with what it has received.
func (s *service) promote(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.members {
		if d.name == id {
			time.AfterFunc(promoteTime, func() { s.lead(d) })
			return true
		}
	}
	return false
}

func (s *service) lead(d *database) {
	s.mu.Lock()
	term := int64(0)
	for _, other := range s.members {
		term = max(term, other.term)
	}
	old := s.leader()
	d.primary, d.term, d.pausedTerm = true, term+1, 0
	s.mu.Unlock()
	s.site.record("service %s: %s leads term %d", s.name, d.name, term+1)
	s.site.register(d)
	if old != nil && old != d {
		time.AfterFunc(stepDownDelay, func() {
			s.mu.Lock()
			old.primary = false
			s.mu.Unlock()
			s.site.register(old)
		})
	}
}

// session is the state of one connection to an instance.
type session struct {
	d        *database
	tx       string
	readOnly bool
	writes   []write
	prepared map[string]string
}

// kill ends the process of the instance, with all its connections.
func (d *database) kill() {
	d.service.mu.Lock()
	defer d.service.mu.Unlock()
	d.down = true
	for conn := range d.conns {
		_ = conn.Close()
	}
}

// startAgain starts the process again under the same name. It holds and knows nothing of before, and registers before it takes connections.
func (d *database) startAgain() {
	d.service.mu.Lock()
	d.log, d.primary, d.term, d.pausedTerm, d.seq, d.born = nil, false, 0, 0, 0, time.Now().UnixMilli()
	d.service.mu.Unlock()
	d.service.site.register(d)
	d.service.mu.Lock()
	d.down = false
	d.service.mu.Unlock()
}

// enter records an open connection; it reports false while the process is down.
func (d *database) enter(conn net.Conn) bool {
	d.service.mu.Lock()
	defer d.service.mu.Unlock()
	if d.down {
		return false
	}
	if d.conns == nil {
		d.conns = map[net.Conn]bool{}
	}
	d.conns[conn] = true
	return true
}

func (d *database) leave(conn net.Conn) {
	d.service.mu.Lock()
	defer d.service.mu.Unlock()
	delete(d.conns, conn)
}

func (d *database) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if !d.enter(conn) {
		return
	}
	defer d.leave(conn)
	in := bufio.NewReaderSize(conn, 8<<10)
	hello, err := readMessage(in)
	fields := strings.SplitN(hello, " ", 4)
	if err != nil || fields[0] != "START" || len(fields) < 3 {
		return
	}
	if fields[1] != d.service.name || (len(fields) == 4 && fields[3] != d.name) {
		_, _ = fmt.Fprintf(conn, "ERR MISDIRECT %s\r\n", d.name)
		return
	}
	c := &session{d: d, tx: "I", prepared: map[string]string{}}
	d.service.mu.Lock()
	position := d.appliedEnd(time.Now())
	d.service.mu.Unlock()
	if _, err := fmt.Fprintf(conn, "READY I %s\r\n", position); err != nil {
		return
	}
	for {
		message, err := readMessage(in)
		if err != nil || message == "QUIT" {
			return
		}
		word, rest, _ := strings.Cut(message, " ")
		id, text, _ := strings.Cut(rest, " ")
		if word != "QUERY" {
			return
		}
		if _, err := conn.Write([]byte(c.answer(fields[2], id, text))); err != nil {
			return
		}
	}
}

// readMessage reads one message, without its end.
func readMessage(in *bufio.Reader) (string, error) {
	var all []byte
	for {
		piece, err := in.ReadBytes('\n')
		all = append(all, piece...)
		if err != nil {
			return "", err
		}
		if strings.HasSuffix(string(all), "\r\n") {
			return string(all[:len(all)-2]), nil
		}
	}
}

// answer runs one statement and returns all messages of its answer.
func (c *session) answer(team, id, text string) string {
	var since mark
	full := text
	if rest, found := strings.CutPrefix(text, "SINCE "); found {
		position, statement, _ := strings.Cut(rest, " ")
		term, number, _ := strings.Cut(position, ".")
		since.term, _ = strconv.ParseInt(term, 10, 64)
		since.number, _ = strconv.ParseInt(number, 10, 64)
		text = statement
	}
	s := c.d.service
	rows, proof, fault, commit := c.run(id, text, since)
	if commit != (mark{}) && !s.awaitReceipt(c.d, commit) {
		time.Sleep(10 * time.Second) // Without a replica there is no acknowledgement.
	}
	s.mu.Lock()
	position := c.d.appliedEnd(time.Now())
	s.proofs++
	number := s.proofs
	s.mu.Unlock()
	if s.site.recordsStatements && id != "-" {
		s.site.record("%s ran id=%s team=%s %q: rows=%v fault=%q commit=%s position=%s", c.d.name, id, team, cut(full), rows, fault, commit, position)
	}
	var b strings.Builder
	for _, r := range rows {
		b.WriteString("ROW " + r + "\r\n")
	}
	switch {
	case fault != "":
		if c.tx != "I" {
			c.tx = "E"
		}
		b.WriteString("ERR " + fault + " " + c.d.name + "\r\n")
	case proof:
		fmt.Fprintf(&b, "DONE mac.%s.%d\r\n", c.d.name, number)
	default:
		b.WriteString("DONE -\r\n")
	}
	fmt.Fprintf(&b, "READY %s %s\r\n", c.tx, position)
	return b.String()
}

func cut(text string) string {
	if len(text) > 60 {
		return text[:60] + "…"
	}
	return text
}

// run runs one statement under the lock. It returns the position that a replica has to receive before the answer, if any.
func (c *session) run(id, text string, since mark) (rows []string, proof bool, fault string, commit mark) {
	d := c.d
	d.service.mu.Lock()
	defer d.service.mu.Unlock()
	now := time.Now()
	verb, args, _ := strings.Cut(text, " ")
	if id == "-" {
		switch verb {
		case "STATUS", "PAUSE", "RESUME", "DEMOTE":
			d.control(verb, args)
			return []string{d.state()}, false, "", mark{}
		}
	}
	if c.tx == "E" && verb != "COMMIT" && verb != "ROLLBACK" {
		return nil, false, "BADMSG", mark{}
	}
	if since != (mark{}) && d.appliedEnd(now).before(since) {
		return nil, false, "LAGGING", mark{}
	}
	if verb == "EXEC" {
		name, rest, _ := strings.Cut(args, " ")
		kind, known := c.prepared[name]
		if !known {
			return nil, false, "NOSTMT", mark{}
		}
		verb, args = kind, rest
	}
	switch verb {
	case "READ":
		return []string{d.read(now, args)}, true, "", mark{}
	case "WRITE":
		item, data, _ := strings.Cut(args, " ")
		if !d.primary {
			return nil, false, "READONLY", mark{}
		}
		if c.tx == "T" {
			c.writes = append(c.writes, write{item, data})
			return nil, true, "", mark{}
		}
		return nil, true, "", d.commit(id, []write{{item, data}})
	case "BEGIN":
		if args != "READ" && !d.primary {
			return nil, false, "READONLY", mark{}
		}
		c.tx, c.readOnly, c.writes = "T", args == "READ", nil
	case "COMMIT":
		writes, failed := c.writes, c.tx == "E"
		c.tx, c.writes = "I", nil
		switch {
		case failed:
			return nil, false, "FAILED", mark{}
		case len(writes) > 0 && !d.primary:
			return nil, false, "READONLY", mark{}
		case len(writes) > 0:
			return nil, true, "", d.commit(id, writes)
		}
		return nil, true, "", mark{}
	case "ROLLBACK":
		c.tx, c.writes = "I", nil
	case "PREPARE":
		name, rest, _ := strings.Cut(args, " ")
		kind, _, _ := strings.Cut(rest, " ")
		c.prepared[strings.Clone(name)] = strings.Clone(kind)
	case "DEALLOC":
		delete(c.prepared, args)
	case "RESET":
		clear(c.prepared)
	case "SET":
	default:
		return nil, false, "BADMSG", mark{}
	}
	return nil, false, "", mark{}
}

// commit appends a commit to the log of the primary, which the replicas that are not paused receive a moment later.
func (d *database) commit(id string, writes []write) mark {
	m := mark{d.term, d.end().number + 1}
	d.log = append(d.log, entry{mark: m, id: strings.Clone(id), writes: writes})
	return m
}

// awaitReceipt waits until a replica has received a commit.
func (s *service) awaitReceipt(d *database, m mark) bool {
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(receiveDelay) {
		s.replicate()
		s.mu.Lock()
		for _, other := range s.members {
			for at := len(other.log) - 1; at >= 0 && !other.down && other != d && other.term == d.term; at-- {
				if other.log[at].mark == m {
					s.mu.Unlock()
					return true
				}
			}
		}
		s.mu.Unlock()
	}
	return false
}

func (d *database) control(verb, args string) {
	term, _ := strconv.ParseInt(args, 10, 64)
	switch {
	case verb == "PAUSE" && !d.primary && term > d.term:
		d.pausedTerm = max(d.pausedTerm, term)
	case verb == "RESUME":
		d.pausedTerm = 0
	case verb == "DEMOTE" && d.primary && d.term < term:
		d.primary = false
		go d.service.site.register(d)
	}
}

func (d *database) state() string {
	role := "replica"
	if d.primary {
		role = "primary"
	}
	return fmt.Sprintf("%s %d %s %d 0 0 0", role, d.term, d.end(), max(d.term, d.pausedTerm))
}
