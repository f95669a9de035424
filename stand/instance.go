package stand

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// InstanceConfig describes a database instance.
type InstanceConfig struct {
	Name        model.InstanceName
	Domain      model.Domain
	Slots       int
	Connections int
	// ConnectTime is how long a new connection takes.
	ConnectTime time.Duration
	// ServiceTime is how long a request occupies a slot.
	ServiceTime time.Duration
	// ApplyLag is the time between the receipt of a record by a replica and its application.
	ApplyLag time.Duration
}

// session is the state of one connection. An open transaction runs on a snapshot; its statements run again on the data at the commit.
type session struct {
	busy          bool
	inTransaction bool
	snapshot      data
	statements    []model.Statement
	rows          []string
}

// Instance stands in for one database instance.
type Instance struct {
	Faults  Faults
	Address netip.AddrPort

	config InstanceConfig
	group  *Group
	slots  chan struct{}
	stop   chan struct{}

	mu      sync.Mutex
	term    model.Term
	primary bool
	// fenced instances run no statements and replicate nothing; their log can still be read by other instances.
	fenced bool
	// termStart is the length of the log when the instance became primary.
	termStart model.Position
	log       []record
	// applied is how many records of the log are applied to data.
	applied int
	data    data
	// requests holds the log positions of the requests with an id.
	requests map[model.RequestID]int
	// source is the primary that the instance replicates from; it is nil for a primary and a fenced instance.
	source *Instance
	// syncedAt is when the log was last compared with that of the source.
	syncedAt time.Time
	// changed is closed and replaced when the log or the role has changed.
	changed  chan struct{}
	sessions map[string]*session
	nextID   int
	// running counts the requests that run or wait for a slot.
	running int
}

func newInstance(group *Group, config InstanceConfig) *Instance {
	return &Instance{
		config:   config,
		group:    group,
		slots:    make(chan struct{}, config.Slots),
		stop:     make(chan struct{}),
		data:     data{},
		requests: map[model.RequestID]int{},
		changed:  make(chan struct{}),
		sessions: map[string]*session{},
	}
}

// Domain returns the failure domain of the instance.
func (i *Instance) Domain() model.Domain { return i.config.Domain }

// Name returns the name of the instance.
func (i *Instance) Name() model.InstanceName { return i.config.Name }

// unavailable reports whether the instance is paused or down.
func (i *Instance) unavailable() bool {
	fault := i.Faults.Get()
	return fault.Paused || fault.Down
}

// applyDue applies the records whose lag has passed; a primary applies at once.
func (i *Instance) applyDue(now time.Time) {
	for i.applied < len(i.log) {
		record := i.log[i.applied]
		if !i.primary && now.Before(record.applyAt) {
			return
		}
		for _, s := range record.statements {
			i.data.run(s)
		}
		i.applied++
	}
}

// appendRecord appends a record and applies it; the caller holds the lock of the instance, which is the primary.
func (i *Instance) appendRecord(now time.Time, r record) {
	i.applyDue(now)
	i.log = append(i.log, r)
	if r.requestID != "" {
		i.requests[r.requestID] = len(i.log)
	}
	i.applied = len(i.log)
	i.notifyChanged()
}

// notifyChanged wakes all goroutines that wait for a change of the log or the role; the caller holds the lock.
func (i *Instance) notifyChanged() {
	close(i.changed)
	i.changed = make(chan struct{})
}

// staleness returns an upper bound of the time by which the applied state lags behind the primary.
func (i *Instance) staleness(now time.Time) time.Duration {
	switch {
	case i.primary:
		return 0
	case i.applied < len(i.log):
		return max(now.Sub(i.log[i.applied].appendedAt), now.Sub(i.syncedAt))
	default:
		return now.Sub(i.syncedAt)
	}
}

func (i *Instance) status(now time.Time) model.UpstreamStatus {
	i.applyDue(now)
	status := model.UpstreamStatus{
		Term:        i.term,
		Held:        model.Position(len(i.log)),
		Applied:     model.Position(i.applied),
		Age:         i.staleness(now),
		Primary:     i.primary,
		Fenced:      i.fenced,
		TermStart:   i.termStart,
		Connections: len(i.sessions),
		Running:     i.running,
	}
	if len(i.log) > 0 {
		status.LogTerm = i.log[len(i.log)-1].term
	}
	return status
}

// awaitReceived returns the status once the log contains a position, or when the wait ends.
func (i *Instance) awaitReceived(ctx context.Context, atLeast model.Position, wait time.Duration) model.UpstreamStatus {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		i.mu.Lock()
		status, changed := i.status(time.Now()), i.changed
		i.mu.Unlock()
		if status.Held >= atLeast || wait <= 0 {
			return status
		}
		select {
		case <-changed:
		case <-deadline.C:
			wait = 0
		case <-ctx.Done():
			wait = 0
		}
	}
}

// State returns the state of the instance directly, without the network and whatever its faults are.
func (i *Instance) State() model.UpstreamStatus {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.status(time.Now())
}
