package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// answerTimeout bounds the wait for a connection and for an answer; the timeout of the routes is shorter.
	answerTimeout = 3 * time.Second
	// meanOperations is the mean number of operations of a session without errors: after each operation the caller ends the session with
	// a probability of 1/meanOperations.
	meanOperations = 25
	// maxPause bounds the pause between two operations.
	maxPause = 25 * time.Millisecond
	// maxCalmPause and maxIdlePause bound the pauses of sessions that are less busy, in runs of planned work.
	maxCalmPause, maxIdlePause = time.Second, 4 * time.Second
	// maxWork bounds the time of a statement that takes long, which is one of longWorkShare.
	maxWork       = 600 * time.Millisecond
	longWorkShare = 30
)

type (
	// route is a route with the guarantees that its callers rely on.
	route struct {
		name  string
		group model.GroupName
		// maxAge bounds the staleness of reads; 0 allows none.
		maxAge time.Duration
		// readYourWrites means that a read includes the commits of its own session, whatever maxAge is.
		readYourWrites bool
	}

	// caller sends the statements of one session after another, on one connection at a time.
	caller struct {
		site   *site
		name   string
		random *rand.Rand
		// texts draws unusual text for names, values and shapes; nil leaves them plain.
		texts *texts
		team  model.TeamName
		key   string

		// maxPause bounds the pause between two operations.
		maxPause time.Duration

		// vm is the VM of the connection.
		vm    *process
		conn  net.Conn
		in    *messageReader
		route route
		// state is the state of the session after the last answer.
		state sessionState
		// values holds the session values that the caller has set, and prepared the kind and the shape of each statement that it has prepared.
		values, prepared map[string]string
		// lastAcked holds, for each item, the number of the last value that this session wrote and had acknowledged.
		lastAcked  map[string]int
		operations int
		// item is the item that this caller writes. After a write with an unknown outcome the caller turns to a new item.
		item string
		// itemCount counts the caller's items, and valueCount the values written to the present item.
		itemCount  int
		valueCount int
	}
)

// noEffectFaults holds the faults that guarantee that nothing of the statement or transaction was committed.
var noEffectFaults = map[string]bool{"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "MISDIRECT": true, "TOOMANY": true}

var errSessionEnded = errors.New("the session ended")

// run opens sessions and runs operations on them until stop is closed.
func (c *caller) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			c.disconnect()
			return
		default:
		}
		if c.conn == nil && !c.dial() {
			time.Sleep(maxPause)
			continue
		}
		if err := c.runOperation(); err != nil || c.state != stateIdle || c.leaves() {
			c.disconnect()
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(c.maxPause))))
	}
}

// leaves reports whether the caller ends its session after an operation. In runs of planned work callers stay until their connection ends.
func (c *caller) leaves() bool {
	return !c.site.config.PlannedOnly && c.random.IntN(meanOperations) == 0
}

// drawWork returns how long an instance takes for the next statement beyond the usual; only runs of planned work have such statements.
func (c *caller) drawWork() time.Duration {
	if !c.site.config.PlannedOnly || c.random.IntN(longWorkShare) > 0 {
		return 0
	}
	return time.Duration(c.random.Int64N(int64(maxWork)))
}

func (c *caller) nextItem() {
	c.itemCount++
	c.item = c.texts.word(fmt.Sprintf("%s-%d", c.name, c.itemCount))
	c.valueCount = 0
	c.site.history.recordItem(c.route.group, c.item)
}

// dial opens a session on any route, through any VM or, in runs of planned work, through one that is in rotation.
func (c *caller) dial() bool {
	vm := c.site.vms[c.random.IntN(len(c.site.vms))]
	if c.site.balancer != nil {
		vm = c.site.balancer.choose(c.random)
	}
	c.route = c.site.routes()[c.random.IntN(len(c.site.routes()))]
	return c.open(vm) == nil
}

func (c *caller) open(vm *process) error {
	conn, err := net.DialTimeout("tcp", vm.settings.Callers.String(), answerTimeout)
	if err != nil {
		return err
	}
	c.nextItem()
	c.vm = vm
	c.conn, c.in, c.state = conn, newMessageReader(conn), stateIdle
	c.values, c.prepared, c.lastAcked = map[string]string{}, map[string]string{}, map[string]int{}
	if err := conn.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(conn, "START %s %s"+lineEnd, c.route.name, c.key); err == nil && c.accepted() {
		return nil
	}
	c.disconnect()
	return errSessionEnded
}

// accepted reads the answer to START and reports whether the session is open.
func (c *caller) accepted() bool {
	message, err := c.in.next()
	if err != nil {
		return false
	}
	word, rest := splitMessage(message)
	state, valid := parseReady(rest)
	if word == "READY" && valid && state == stateIdle {
		return true
	}
	if word != "ERR" {
		c.site.history.addViolation("mixed: %s got %q in answer to START", c.name, message)
	}
	return false
}

func (c *caller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// runOperation runs one operation; an error ends the session.
func (c *caller) runOperation() error {
	c.operations++
	kind := c.random.IntN(10)
	switch {
	case kind == 0:
		return c.set()
	case c.route.maxAge > 0 && !c.route.readYourWrites, kind < 5:
		return c.read(c.anyItem())
	case kind < 8:
		return c.write()
	default:
		return c.transaction()
	}
}

func (c *caller) set() error {
	name, value := string(rune('a'+c.random.IntN(2))), c.texts.text(fmt.Sprint(c.random.IntN(3)))
	if a, err := c.query("SET " + name + " " + value); err != nil || a.fault != "" {
		return errSessionEnded
	}
	c.values[name] = value
	return nil
}

func (c *caller) read(item string) error {
	verb, err := c.verb("READ")
	if err != nil {
		return err
	}
	minValues := max(c.site.history.lastAckedNumber(item, time.Now().Add(-c.route.maxAge)), c.minOwnValues(item))
	a, err := c.query(verb + item)
	if err != nil || a.fault != "" {
		return c.faultError(a, err)
	}
	return c.checkRead(item, minValues, a)
}

// anyItem returns, with equal probability, the caller's own item or one of the newest items of the group, and at times one of its stock.
func (c *caller) anyItem() string {
	item := c.item
	if c.random.IntN(2) != 0 {
		item = c.site.history.anyItem(c.route.group, c.random)
	}
	return c.texts.choose(item, c.site.stock[c.route.group])
}

func (c *caller) minOwnValues(item string) int {
	if c.route.readYourWrites || c.route.maxAge == 0 {
		return c.lastAcked[item]
	}
	return 0
}

func (c *caller) checkRead(item string, minValues int, a answer) error {
	if len(a.rows) != 1 || a.proof == "-" {
		c.site.history.addViolation("mixed: %s got %v with the proof %q for a read of %s", c.name, a.rows, a.proof, item)
		return errSessionEnded
	}
	c.site.history.checkRead(item, a.rows[0], minValues, c.name+" on "+c.route.name)
	return nil
}

// faultError returns nil if the session continues after the fault in an answer, and otherwise the error that ends the session.
func (c *caller) faultError(a answer, err error) error {
	switch {
	case err != nil:
		return err
	case noEffectFaults[a.fault], a.fault == "FAILED", a.fault == "TIMEOUT", a.fault == "INDOUBT":
		return nil
	default:
		return errSessionEnded
	}
}

func (c *caller) write() error {
	verb := "WRITE "
	if c.random.IntN(3) == 0 {
		var err error
		if verb, err = c.prepare("WRITE"); err != nil {
			return err
		}
	}
	value := c.nextValue()
	text := verb + c.item + " " + value
	id := c.nextID()
	c.site.history.recordWrite(c.item, id, value)
	a, err := c.queryWithID(id, text)
	return c.recordOutcome(id, a, err)
}

func (c *caller) nextValue() string {
	c.valueCount++
	return c.texts.text(fmt.Sprintf("%s=%d", c.item, c.valueCount))
}

// recordOutcome derives the outcome of the last value from the answer to the write or commit, and records it. After an unknown outcome
// the caller turns to a new item. An error ends the session.
func (c *caller) recordOutcome(id model.RequestID, a answer, err error) error {
	switch {
	case err == nil && a.fault == "":
		if a.proof == "-" {
			c.site.history.addViolation("mixed: %s was told of a commit without a proof", c.name)
		}
		c.site.history.recordOutcome(c.item, id, outcomeAcked)
		c.lastAcked[c.item] = c.valueCount
		return nil
	case err == nil && noEffectFaults[a.fault]:
		c.site.history.recordOutcome(c.item, id, outcomeRefused)
		return nil
	default:
		c.site.history.recordOutcome(c.item, id, outcomeUnknown)
		c.nextItem()
		return c.faultError(a, err)
	}
}
