package coord

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/state"
)

const (
	worldGroup model.GroupName = "g"
	worldTTL                   = 2 * time.Second
	// worldStep is the time between two steps of a world.
	worldStep = 20 * time.Millisecond
	// worldDelay bounds the usual delay of a message, and lateOrder that of an order which the platform holds.
	worldDelay = 60 * time.Millisecond
	lateOrder  = 9500 * time.Millisecond
	// stepDownDelay is how long after a promotion the former primary goes on.
	stepDownDelay = time.Second
	worldVMs      = 3
)

type (
	// world simulates a store, the instances of a group and the platform in virtual time.
	world struct {
		t      *testing.T
		random *rand.Rand
		now    time.Time
		events []worldEvent
		rows   map[string]model.StoredRow
		// version is the newest version of the store, and copies are what it may come back from.
		version   int64
		copies    []worldCopy
		storeAway bool
		instances map[model.InstanceName]*worldInstance
		// acked holds the commits whose callers were told, and terms the terms of all commits.
		acked map[string]bool
		terms map[string]model.Term
		// fence and holder are those of the order with the highest fencing token that the platform has taken.
		fence  int64
		holder model.VMID
		faults []string
		vms    []*worldVM
		// promotions counts the orders that were carried out.
		promotions int
	}

	worldCopy struct {
		at      time.Time
		version int64
		rows    map[string]model.StoredRow
	}

	worldInstance struct {
		name       model.InstanceName
		role       model.Role
		term, held model.Term
		log        []string
		down       bool
		// stepsDownAt is when a primary that was replaced becomes a replica.
		stepsDownAt time.Time
		// waiting holds what to do once the commit at a position is on a replica.
		waiting map[int]func()
	}

	worldEvent struct {
		at time.Time
		do func()
	}
)

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 9)), now: time.Unix(1000, 0), rows: map[string]model.StoredRow{}, version: 10,
		instances: map[model.InstanceName]*worldInstance{}, acked: map[string]bool{}, terms: map[string]model.Term{},
	}
	for i, name := range []model.InstanceName{"i-1", "i-2", "i-3"} {
		w.instances[name] = &worldInstance{name: name, role: model.RoleReplica, term: 1, waiting: map[int]func(){}}
		if i == 0 {
			w.instances[name].role = model.RolePrimary
		}
	}
	record := state.PrimaryRecord{Group: worldGroup, Term: 1, Primary: "i-1", Replicas: []model.Incarnation{{Name: "i-2"}, {Name: "i-3"}}}
	row, err := record.Row()
	require.NoError(t, err)
	w.put(row)
	return w
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%s: ", w.now.Sub(time.Unix(1000, 0)))+fmt.Sprintf(format, args...))
}

// after does something once a message has arrived.
func (w *world) after(do func()) {
	w.at(w.now.Add(time.Duration(w.random.Int64N(int64(worldDelay)))), do)
}

func (w *world) at(at time.Time, do func()) { w.events = append(w.events, worldEvent{at, do}) }

func (w *world) deliver() {
	due := w.events
	w.events = nil
	for _, e := range due {
		if e.at.After(w.now) {
			w.events = append(w.events, e)
		} else {
			e.do()
		}
	}
}

func (w *world) put(row model.StoredRow) {
	row.Version = w.version
	w.rows[row.Key] = row
}

// apply performs a change as the store does: it compares counts, whatever the era in which they were given out.
func (w *world) apply(expected, writes []model.StoredRow) (int64, bool) {
	for _, e := range expected {
		if stored := w.rows[e.Key].Version; model.CountOf(stored) != model.CountOf(e.Version) {
			return 0, false
		}
	}
	w.version++
	for _, row := range writes {
		w.put(row)
	}
	return w.version, true
}

// keepCopies keeps copies of the last seconds.
func (w *world) keepCopies() {
	w.copies = append(w.copies, worldCopy{w.now, w.version, maps.Clone(w.rows)})
	w.copies = slices.DeleteFunc(w.copies, func(c worldCopy) bool { return w.now.Sub(c.at) > 5*time.Second })
}

// comeBack makes the store come back from one of its copies.
func (w *world) comeBack() {
	from := w.copies[w.random.IntN(len(w.copies))]
	era := model.EraOf(w.version) + 1
	w.version = model.VersionIn(era, model.CountOf(from.version))
	w.rows = map[string]model.StoredRow{}
	for key, row := range from.rows {
		row.Version = model.VersionIn(era, model.CountOf(row.Version))
		w.rows[key] = row
	}
	w.copies = nil
}

// stateOf returns what an instance answers about itself, and whether it answers.
func (w *world) stateOf(name model.InstanceName) (model.InstanceState, bool) {
	i := w.instances[name]
	received := model.Mark{}
	if n := len(i.log); n > 0 {
		received = model.Mark{Term: w.terms[i.log[n-1]], Position: model.Position(n)}
	}
	return model.InstanceState{Role: i.role, Term: i.term, Held: max(i.held, i.term), Received: received}, !i.down
}

// leader returns the primary of the highest term that runs.
func (w *world) leader() *worldInstance {
	var leader *worldInstance
	for _, name := range slices.Sorted(maps.Keys(w.instances)) {
		if i := w.instances[name]; i.role == model.RolePrimary && !i.down && (leader == nil || i.term > leader.term) {
			leader = i
		}
	}
	return leader
}

// replicate lets replicas follow the primaries, those of lower terms first, and former primaries step down.
func (w *world) replicate() {
	leader := w.leader()
	for _, name := range slices.Sorted(maps.Keys(w.instances)) {
		primary := w.instances[name]
		if primary.down || primary.role != model.RolePrimary {
			continue
		}
		if leader.term > primary.term && !primary.stepsDownAt.IsZero() && w.now.After(primary.stepsDownAt) {
			primary.role = model.RoleReplica
			continue
		}
		for _, other := range w.instances {
			follows := other.role == model.RoleReplica && !other.down && max(other.held, other.term) <= primary.term
			if !follows || w.random.IntN(3) == 0 {
				continue
			}
			other.term, other.log = primary.term, slices.Clone(primary.log)
			w.acknowledge(primary)
		}
	}
}

// acknowledge answers the commits of a primary that are on a replica.
func (w *world) acknowledge(primary *worldInstance) {
	for position, answer := range primary.waiting {
		if position <= len(primary.log) {
			delete(primary.waiting, position)
			w.after(answer)
		}
	}
}

// promote carries an order out, and notes an order under a lower token or one of two holders under the same.
func (w *world) promote(holder model.VMID, fence int64, target model.InstanceName) {
	if fence < w.fence || (fence == w.fence && holder != w.holder) {
		w.fault("%s promotes under %x after %s under %x", holder, fence, w.holder, w.fence)
	}
	w.fence, w.holder = max(w.fence, fence), holder
	i := w.instances[target]
	if i.down || i == w.leader() {
		return
	}
	term := model.Term(0)
	for _, other := range w.instances {
		term = max(term, other.term)
		if other.role == model.RolePrimary {
			other.stepsDownAt = w.now.Add(stepDownDelay)
		}
	}
	if missing := w.missing(i); len(missing) > 0 {
		w.fault("%s is promoted without acknowledged commits %v", target, missing)
	}
	w.promotions++
	i.role, i.term, i.held, i.stepsDownAt, i.waiting = model.RolePrimary, term+1, 0, time.Time{}, map[int]func(){}
	for _, other := range w.instances {
		other.held = 0
	}
}

// missing returns the acknowledged commits that an instance lacks.
func (w *world) missing(i *worldInstance) []string {
	var missing []string
	for id := range w.acked {
		if !slices.Contains(i.log, id) {
			missing = append(missing, id)
		}
	}
	return missing
}
