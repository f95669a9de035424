package stand

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// clusterLink is a connection to an instance of a cluster.
type clusterLink struct {
	cluster    *Cluster
	database   *database
	team       model.TeamName
	generation int

	closed   bool
	inside   bool
	readOnly bool
	term     model.Term
	writes   []write
	prepared map[string]string
}

// syncPoll is how often a commit looks whether a replica received it.
const syncPoll = time.Millisecond

// Exchange runs the queries one after another.
func (l *clusterLink) Exchange(deadline time.Time, queries ...model.Query) ([]model.Reply, error) {
	var replies []model.Reply
	for _, q := range queries {
		reply, err := l.run(deadline, q)
		if err != nil {
			return replies, err
		}
		replies = append(replies, reply)
	}
	return replies, nil
}

func (l *clusterLink) run(deadline time.Time, q model.Query) (model.Reply, error) {
	l.cluster.mu.Lock()
	faults, generation := l.database.faults, l.database.generation
	if l.closed || faults.Down || generation != l.generation {
		l.cluster.mu.Unlock()
		return model.Reply{}, model.ErrNoAnswer
	}
	if faults.Dark {
		l.cluster.mu.Unlock()
		time.Sleep(time.Until(deadline))
		return model.Reply{}, model.ErrNoAnswer
	}
	if !l.occupy(q) {
		l.cluster.mu.Unlock()
		return l.fault(model.FaultBusy), nil
	}
	reply, wait := l.execute(q)
	l.cluster.mu.Unlock()
	if wait != (model.Mark{}) && !l.synced(deadline, wait, q.ID) {
		return model.Reply{}, model.ErrNoAnswer
	}
	if faults.LoseAnswers && q.ID != "" {
		return model.Reply{}, model.ErrNoAnswer
	}
	return reply, nil
}

// occupy holds a slot for the service time under the lock, which it gives up meanwhile; false means that all are in use.
func (l *clusterLink) occupy(q model.Query) bool {
	if l.cluster.config.ServiceTime == 0 || q.ID == "" {
		return true
	}
	if l.database.running >= l.database.instance.Slots {
		return false
	}
	l.database.running++
	l.cluster.mu.Unlock()
	time.Sleep(l.cluster.config.ServiceTime)
	l.cluster.mu.Lock()
	l.database.running--
	return true
}

// synced waits until a replica received a commit, and records that it is acknowledged.
func (l *clusterLink) synced(deadline time.Time, mark model.Mark, id model.RequestID) bool {
	for time.Now().Before(deadline) {
		l.cluster.mu.Lock()
		if l.database.faults.Down || l.database.faults.Dark || l.database.generation != l.generation {
			l.cluster.mu.Unlock()
			return false
		}
		for _, d := range l.cluster.databases {
			if d != l.database && d.term == l.database.term && !d.end().Before(mark) {
				l.cluster.acked[id] = mark
				l.cluster.mu.Unlock()
				return true
			}
		}
		l.cluster.mu.Unlock()
		time.Sleep(syncPoll)
	}
	return false
}

// execute runs one query under the lock; it returns the position that has to be acknowledged first, if any.
func (l *clusterLink) execute(q model.Query) (model.Reply, model.Mark) {
	d := l.database
	words := strings.SplitN(q.Text, " ", 4)
	if q.Since != (model.Mark{}) && d.end().Before(q.Since) {
		return l.fault(model.FaultLagging), model.Mark{}
	}
	plain := l.inside && !l.readOnly
	if plain && words[0] != "ROLLBACK" && (d.instance.Role != model.RolePrimary || d.term != l.term) {
		return l.fault(model.FaultReadOnly), model.Mark{}
	}
	switch words[0] {
	case "COMMIT":
		return l.commit()
	case "WRITE":
		return l.write(q.ID, words[1], words[2])
	case "EXEC":
		return l.exec(q.ID, words)
	default:
		return l.quiet(words), model.Mark{}
	}
}

// quiet runs a statement that keeps nothing.
func (l *clusterLink) quiet(words []string) model.Reply {
	switch words[0] {
	case "BEGIN":
		return l.begin(len(words) > 1)
	case "ROLLBACK":
		l.inside, l.writes = false, nil
	case "READ":
		return l.read(words[1])
	case "PREPARE":
		if l.prepared == nil {
			l.prepared = map[string]string{}
		}
		l.prepared[words[1]] = words[2]
	}
	return l.done()
}

func (l *clusterLink) exec(id model.RequestID, words []string) (model.Reply, model.Mark) {
	if l.prepared[words[1]] == "WRITE" {
		return l.write(id, words[2], words[3])
	}
	return l.read(words[2]), model.Mark{}
}

func (l *clusterLink) begin(readOnly bool) model.Reply {
	if !readOnly && l.database.instance.Role != model.RolePrimary {
		return l.fault(model.FaultReadOnly)
	}
	l.inside, l.readOnly, l.term = true, readOnly, l.database.term
	return l.done()
}

func (l *clusterLink) read(item string) model.Reply {
	value := ""
	for _, entry := range l.database.log {
		for _, w := range entry.writes {
			if w.item == item {
				value = w.data
			}
		}
	}
	reply := l.done()
	reply.Rows = []string{value}
	return reply
}

func (l *clusterLink) write(id model.RequestID, item, data string) (model.Reply, model.Mark) {
	if l.database.instance.Role != model.RolePrimary {
		return l.fault(model.FaultReadOnly), model.Mark{}
	}
	l.writes = append(l.writes, write{id: id, item: item, data: data})
	if l.inside {
		return l.done(), model.Mark{}
	}
	return l.commit()
}

func (l *clusterLink) commit() (model.Reply, model.Mark) {
	l.inside = false
	if len(l.writes) == 0 {
		return l.done(), model.Mark{}
	}
	d := l.database
	mark := model.Mark{Term: d.term, Position: d.end().Position + 1}
	d.log = append(d.log, commit{mark: mark, writes: l.writes, at: time.Now()})
	l.writes = nil
	return l.done(), mark
}

func (l *clusterLink) state() model.TxState {
	if l.inside {
		return model.TxOpen
	}
	return model.TxNone
}

func (l *clusterLink) done() model.Reply {
	return model.Reply{Proof: fmt.Sprintf("%s.%d", l.database.instance.Name, len(l.database.log)), State: l.state(), Mark: l.position()}
}

// position returns the end of the log in the term of the instance, as a primary without commits of its own term reports it.
func (l *clusterLink) position() model.Mark {
	return model.Mark{Term: max(l.database.term, l.database.end().Term), Position: l.database.end().Position}
}

func (l *clusterLink) fault(fault model.Fault) model.Reply {
	state := l.state()
	if l.inside {
		state = model.TxFailed
	}
	return model.Reply{Fault: fault, State: state, Mark: l.database.end()}
}

// Idle tells whether the connection is open.
func (l *clusterLink) Idle() bool {
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	return !l.closed && l.generation == l.database.generation
}

// Close rolls back.
func (l *clusterLink) Close() {
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	if !l.closed {
		l.database.open--
	}
	l.closed, l.writes = true, nil
}

// Status returns the state.
func (l *clusterLink) Status(deadline time.Time) (model.InstanceState, error) {
	return l.order(deadline, func(*database) {})
}

// Pause stops a replica from receiving lower terms.
func (l *clusterLink) Pause(deadline time.Time, term model.Term) (model.InstanceState, error) {
	return l.order(deadline, func(d *database) {
		if d.instance.Role == model.RoleReplica && term > d.term {
			d.held = max(d.held, term)
		}
	})
}

// Resume ends a pause.
func (l *clusterLink) Resume(deadline time.Time) (model.InstanceState, error) {
	return l.order(deadline, func(d *database) { d.held = 0 })
}

// Demote makes a primary of a lower term a replica.
func (l *clusterLink) Demote(deadline time.Time, term model.Term) (model.InstanceState, error) {
	return l.order(deadline, func(d *database) {
		if d.term < term {
			l.cluster.demote(d)
		}
	})
}

func (l *clusterLink) order(deadline time.Time, change func(*database)) (model.InstanceState, error) {
	if _, err := l.run(deadline, model.Query{Text: "STATUS " + strconv.Itoa(l.generation)}); err != nil {
		return model.InstanceState{}, err
	}
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	d := l.database
	change(d)
	return model.InstanceState{Role: d.instance.Role, Term: d.term, Received: l.position(), Held: max(d.held, d.term)}, nil
}
