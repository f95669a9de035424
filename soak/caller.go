package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// answerTime bounds the wait for an answer; the time limit of the routes is shorter.
	answerTime = 3 * time.Second
	// mostOperations is how many operations a session does at most before it ends by itself.
	mostOperations = 25
	// mostPause is the longest pause between two operations.
	mostPause = 25 * time.Millisecond
)

type (
	// route is what callers know of a route.
	route struct {
		name  string
		group model.GroupName
		// age is how old the data of a read may be, and own tells that it includes the session's own commits.
		age time.Duration
		own bool
	}

	// caller is one requester with a connection at a time.
	caller struct {
		site   *site
		name   string
		random *rand.Rand
		team   model.TeamName
		key    string

		conn   net.Conn
		in     *bufio.Reader
		route  route
		values map[string]string
		// seen is how many values of an item the session wrote itself, acknowledged.
		seen       map[string]int
		operations int
		// item is what this caller writes; a write whose outcome is open is the last one to its item.
		item  string
		items int
		wrote int
	}
)

// promises are the faults after which nothing is kept.
var promises = map[string]bool{"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "MISDIRECT": true, "TOOMANY": true}

var errBroken = errors.New("the session ended")

func (c *caller) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			c.hangUp()
			return
		default:
		}
		if c.conn == nil && !c.dial() {
			time.Sleep(mostPause)
			continue
		}
		if err := c.operate(); err != nil || c.random.IntN(mostOperations) == 0 {
			c.hangUp()
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(mostPause))))
	}
}

func (c *caller) nextItem() {
	c.items++
	c.item = fmt.Sprintf("%s-%d", c.name, c.items)
	c.wrote = 0
	c.site.ledger.open(c.route.group, c.item)
}

// dial opens a session through any VM on any route.
func (c *caller) dial() bool {
	vm := c.site.vms[c.random.IntN(len(c.site.vms))]
	c.route = c.site.routes()[c.random.IntN(len(c.site.routes()))]
	return c.open(vm) == nil
}

func (c *caller) open(vm *process) error {
	conn, err := net.DialTimeout("tcp", vm.settings.Callers.String(), answerTime)
	if err != nil {
		return err
	}
	c.nextItem()
	c.conn, c.in, c.values, c.seen = conn, bufio.NewReader(conn), map[string]string{}, map[string]int{}
	if err := conn.SetDeadline(time.Now().Add(answerTime)); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(conn, "START %s %s\r\n", c.route.name, c.key); err == nil {
		var line string
		if line, err = c.in.ReadString('\n'); err == nil && strings.HasPrefix(line, "READY I") {
			return nil
		}
	}
	c.hangUp()
	return errBroken
}

func (c *caller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// operate does one operation; an error ends the session.
func (c *caller) operate() error {
	c.operations++
	kind := c.random.IntN(10)
	switch {
	case kind == 0:
		return c.set()
	case c.route.age > 0 && !c.route.own, kind < 5:
		return c.read(c.anyItem())
	case kind < 8:
		return c.write()
	default:
		return c.transaction()
	}
}

func (c *caller) set() error {
	name, value := string(rune('a'+c.random.IntN(2))), fmt.Sprint(c.random.IntN(3))
	if _, err := c.ask("SET " + name + " " + value); err != nil {
		return err
	}
	c.values[name] = value
	return nil
}

func (c *caller) read(item string) error {
	least := max(c.site.ledger.acknowledged(item, time.Now().Add(-c.route.age)), c.ownLeast(item))
	a, err := c.ask("READ " + item)
	if err != nil || a.fault != "" {
		return c.after(a, err)
	}
	return c.check(item, least, a)
}

// anyItem returns the own item or one of another caller.
func (c *caller) anyItem() string {
	if c.random.IntN(2) == 0 {
		return c.item
	}
	return c.site.ledger.anyItem(c.route.group, c.random)
}

func (c *caller) ownLeast(item string) int {
	if c.route.own || c.route.age == 0 {
		return c.seen[item]
	}
	return 0
}

func (c *caller) check(item string, least int, a answer) error {
	if len(a.rows) != 1 || a.proof == "-" {
		c.site.ledger.breach("mixed: %s got %v with the proof %q for a read of %s", c.name, a.rows, a.proof, item)
		return errBroken
	}
	c.site.ledger.read(item, a.rows[0], least, c.name+" on "+c.route.name)
	return nil
}

// after tells whether the session goes on after a fault.
func (c *caller) after(a answer, err error) error {
	switch {
	case err != nil:
		return err
	case promises[a.fault], a.fault == "FAILED", a.fault == "TIMEOUT", a.fault == "INDOUBT":
		return nil
	default:
		return errBroken
	}
}

func (c *caller) write() error {
	verb := "WRITE "
	if c.random.IntN(3) == 0 {
		if a, err := c.ask("PREPARE s1 WRITE q2"); err != nil || a.fault != "" {
			return errBroken
		}
		verb = "EXEC s1 "
	}
	value := c.nextValue()
	text := verb + c.item + " " + value
	id := c.nextID()
	c.site.ledger.write(c.item, id, value)
	a, err := c.askAs(id, text)
	return c.conclude(id, a, err)
}

func (c *caller) nextValue() string {
	c.wrote++
	return fmt.Sprintf("%s=%d", c.item, c.wrote)
}

// conclude records what came of a write or commit of the last value.
func (c *caller) conclude(id model.RequestID, a answer, err error) error {
	switch {
	case err == nil && a.fault == "":
		if a.proof == "-" {
			c.site.ledger.breach("mixed: %s was told of a commit without a proof", c.name)
		}
		c.site.ledger.settle(c.item, id, outcomeAcked)
		c.seen[c.item] = c.wrote
		return nil
	case err == nil && promises[a.fault]:
		c.site.ledger.settle(c.item, id, outcomeRefused)
		return nil
	default:
		c.site.ledger.settle(c.item, id, outcomeOpen)
		c.nextItem()
		return c.after(a, err)
	}
}

// transaction writes and reads, and commits or rolls back.
func (c *caller) transaction() error {
	if a, err := c.ask("BEGIN"); err != nil || a.fault != "" {
		return c.after(a, err)
	}
	value := c.nextValue()
	id := c.nextID()
	c.site.ledger.write(c.item, id, value)
	a, err := c.askAs(id, "WRITE "+c.item+" "+value)
	if err == nil && a.fault == "" && c.random.IntN(2) == 0 {
		time.Sleep(time.Duration(c.random.Int64N(int64(mostPause))))
		a, err = c.ask("READ " + c.anyItem())
	}
	if err != nil {
		// The commit was never sent, so nothing of the transaction is kept.
		c.site.ledger.settle(c.item, id, outcomeRefused)
		return err
	}
	if a.fault != "" || c.random.IntN(4) == 0 {
		c.site.ledger.settle(c.item, id, outcomeRefused)
		_, err := c.ask("ROLLBACK")
		return err
	}
	commit := c.nextID()
	a, err = c.askAs(commit, "COMMIT")
	return c.conclude(commit, a, err)
}
