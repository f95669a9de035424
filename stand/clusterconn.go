package stand

import (
	"strings"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// clusterConn is a connection to an instance of a cluster; it implements model.InstanceConn.
type clusterConn struct {
	cluster    *Cluster
	database   *database
	team       model.TeamName
	generation int

	closed bool
	// inTransaction is true inside a transaction. readOnly is true if the transaction was begun as read-only. txTerm is the term of the
	// instance when the transaction began.
	inTransaction bool
	readOnly      bool
	txTerm        model.Term
	// failed is true once a statement of the transaction has failed; the transaction can only be ended then, which rolls it back.
	failed bool
	// writes holds the uncommitted writes.
	writes []write
	// prepared holds the first word, READ or WRITE, of each prepared statement.
	prepared map[string]string
}

// syncPollInterval is the interval at which a commit checks whether a replica has received it.
const syncPollInterval = time.Millisecond

// Exchange runs the queries one after another; on an error it returns the replies so far.
func (c *clusterConn) Exchange(deadline time.Time, queries ...model.Query) ([]model.Reply, error) {
	var replies []model.Reply
	for _, q := range queries {
		reply, err := c.run(deadline, q)
		if err != nil {
			return replies, err
		}
		replies = append(replies, reply)
	}
	return replies, nil
}

// Receive returns an error: nothing answers without being asked.
func (c *clusterConn) Receive(time.Time) (model.Reply, error) {
	return model.Reply{}, model.ErrNoAnswer
}

func (c *clusterConn) run(deadline time.Time, q model.Query) (model.Reply, error) {
	faults, err := c.lockRunning(deadline)
	if err != nil {
		return model.Reply{}, err
	}
	if q.ID != "" && faults.Start.fails(time.Now()) {
		c.cluster.mu.Unlock()
		return model.Reply{}, model.ErrNoAnswer
	}
	if !c.occupySlot(q) {
		busy := c.fault(model.FaultBusy)
		c.cluster.mu.Unlock()
		return busy, nil
	}
	reply, wait := c.execute(q)
	c.sign(q, &reply)
	entry := ackedCommit{id: q.ID, mark: wait, at: time.Now(), late: c.cluster.replaced(c.database)}
	c.cluster.mu.Unlock()
	if wait != (model.Mark{}) && !c.awaitReplication(deadline, entry) {
		return model.Reply{}, model.ErrNoAnswer
	}
	if faults.LoseAnswers && q.ID != "" {
		return model.Reply{}, model.ErrNoAnswer
	}
	return reply, nil
}

// lockRunning locks the cluster and returns the faults of the instance. It returns an error, without the lock, if the instance answers nothing.
func (c *clusterConn) lockRunning(deadline time.Time) (DatabaseFaults, error) {
	c.cluster.mu.Lock()
	faults, generation := c.database.faults, c.database.generation
	if c.closed || faults.Down || generation != c.generation {
		c.cluster.mu.Unlock()
		return faults, model.ErrNoAnswer
	}
	if faults.Unresponsive {
		c.cluster.mu.Unlock()
		time.Sleep(time.Until(deadline))
		return faults, model.ErrNoAnswer
	}
	return faults, nil
}

// occupySlot occupies a slot for the service time, which is longer while the instance is not warm, and reports whether one was free. The caller holds the lock, which occupySlot releases
// during the service time.
func (c *clusterConn) occupySlot(q model.Query) bool {
	if c.cluster.config.ServiceTime == 0 || q.ID == "" {
		return true
	}
	if c.database.running >= c.database.instance.Slots {
		return false
	}
	c.database.running++
	work := c.database.faults.Start.Work
	c.cluster.mu.Unlock()
	time.Sleep(c.cluster.config.ServiceTime + work)
	c.cluster.mu.Lock()
	c.database.running--
	return true
}

// awaitReplication waits until another instance of the same term holds a commit, and records that it is acknowledged. It returns false
// if the deadline comes first, the connection breaks or the instance becomes unresponsive.
func (c *clusterConn) awaitReplication(deadline time.Time, entry ackedCommit) bool {
	for time.Now().Before(deadline) {
		c.cluster.mu.Lock()
		if c.database.faults.Down || c.database.faults.Unresponsive || c.database.generation != c.generation {
			c.cluster.mu.Unlock()
			return false
		}
		for _, d := range c.cluster.databases {
			if d != c.database && d.term == c.database.term && d.log.holds(entry.mark) {
				c.cluster.recordAck(c.database, entry)
				c.cluster.mu.Unlock()
				return true
			}
		}
		c.cluster.mu.Unlock()
		time.Sleep(syncPollInterval)
	}
	return false
}

func (c *clusterConn) state() model.TxState {
	switch {
	case c.failed:
		return model.TxFailed
	case c.inTransaction:
		return model.TxOpen
	default:
		return model.TxNone
	}
}

func (c *clusterConn) success() model.Reply {
	return model.Reply{State: c.state(), Mark: c.position()}
}

// sign adds the proof to a successful answer to a read, a write or a commit.
func (c *clusterConn) sign(q model.Query, reply *model.Reply) {
	verb, _, _ := strings.Cut(q.Text, " ")
	if reply.Fault == "" && provenStatements[verb] {
		reply.Proof = Proof(c.database.instance.Name, q.ID, reply.Rows)
	}
}

// position returns the end of the log, with the term of the instance if it is higher than the term of the last commit. A primary without
// commits of its own term reports its position in this way.
func (c *clusterConn) position() model.Mark {
	return model.Mark{Term: max(c.database.term, c.database.end().Term), Position: c.database.end().Position}
}

// fault returns an answer with a fault, which fails an open transaction.
func (c *clusterConn) fault(fault model.Fault) model.Reply {
	c.failed = c.inTransaction
	return model.Reply{Fault: fault, State: c.state(), Mark: c.database.end()}
}

// Idle reports whether the connection is open.
func (c *clusterConn) Idle() bool {
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	return !c.closed && c.generation == c.database.generation
}

// Close closes the connection and rolls an open transaction back.
func (c *clusterConn) Close() {
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	if !c.closed {
		c.database.open--
	}
	c.closed, c.writes = true, nil
}

// Status returns the state of the instance.
func (c *clusterConn) Status(deadline time.Time) (model.InstanceState, error) {
	return c.control(deadline, func(*database) {})
}

// Pause stops a replica from receiving commits of terms below the given one.
func (c *clusterConn) Pause(deadline time.Time, term model.Term) (model.InstanceState, error) {
	return c.control(deadline, func(d *database) {
		if d.instance.Role == model.RoleReplica && term > d.term {
			d.pausedTerm = max(d.pausedTerm, term)
		}
	})
}

// Resume ends a pause.
func (c *clusterConn) Resume(deadline time.Time) (model.InstanceState, error) {
	return c.control(deadline, func(d *database) { d.pausedTerm = 0 })
}

// Demote makes a primary of a lower term a replica.
func (c *clusterConn) Demote(deadline time.Time, term model.Term) (model.InstanceState, error) {
	return c.control(deadline, func(d *database) {
		if d.term < term {
			c.cluster.demote(d)
		}
	})
}

// control applies a change to the instance under the lock and returns the state after it.
func (c *clusterConn) control(deadline time.Time, change func(*database)) (model.InstanceState, error) {
	if _, err := c.lockRunning(deadline); err != nil {
		return model.InstanceState{}, err
	}
	defer c.cluster.mu.Unlock()
	change(c.database)
	return c.instanceState(), nil
}

// instanceState returns the state of the instance under the lock.
func (c *clusterConn) instanceState() model.InstanceState {
	d := c.database
	return model.InstanceState{Role: d.instance.Role, Term: d.term, Received: c.position(), Held: max(d.pausedTerm, d.term)}
}
