package stand

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/model"
)

type (
	// ClusterConfig describes a group of database instances with interactive connections.
	ClusterConfig struct {
		Group     model.GroupName
		Instances []model.Instance
		// ReplicationLag is the minimum time between a commit and its receipt by a replica.
		ReplicationLag time.Duration
		// PromoteTime is the time between an order and the promotion.
		PromoteTime time.Duration
		// StepDownDelay is how long after a promotion the old primary becomes a replica. An old primary that is Down or Unresponsive
		// at that time becomes one StepDownDelay, or a little more, after it can reach the new primary again.
		StepDownDelay time.Duration
		// FollowDelay is how long after a promotion the other replicas do not know of it: they go on to follow the old primary and stay paused.
		// With 0, all pauses end with the promotion.
		FollowDelay time.Duration
		// ServiceTime is how long a statement of a caller occupies a slot; with 0, statements occupy no slots.
		ServiceTime time.Duration
		// Seed seeds the random source of answer faults; nothing is drawn from it without them.
		Seed uint64
	}

	// Cluster stands in for the instances of a group and for the platform's orders of new primaries; it is safe for concurrent use.
	Cluster struct {
		config ClusterConfig

		mu        sync.Mutex
		databases map[model.InstanceName]*database
		// random is the source of all answer faults.
		random *rand.Rand
		// fencingToken is the highest fencing token of an order.
		fencingToken int64
		// acked holds the log positions of the commits that an instance acknowledged.
		acked           map[model.RequestID]model.Mark
		orderViolations []string
		// lostCommits holds the commits that an instance acknowledged and that a promotion removed.
		lostCommits []model.RequestID
		// promoted is the last instance that a promotion made the primary, nil before the first, and promotedAt is when.
		promoted   *database
		promotedAt time.Time
		// lateCommits holds the commits that an instance made and acknowledged after it had been replaced.
		lateCommits []LateCommit
		// ackedAt holds when the commits in acked were acknowledged, and cutOffs describes those that a promotion removed.
		ackedAt map[model.RequestID]time.Time
		cutOffs []CutOff
		// onChange is called when the role of an instance has changed.
		onChange func(model.Instance)
	}

	// database is one instance of a cluster.
	database struct {
		instance model.Instance
		term     model.Term
		// pausedTerm is the term that a replica is paused for, and 0 while it is not paused.
		pausedTerm model.Term
		log        commitLog
		faults     DatabaseFaults
		// generation is increased when the instance drops its connections; connections of an older generation are broken.
		generation int
		// running counts the statements that occupy slots.
		running int
		// open counts the connections, and peakOpen is the most that were open at once.
		open, peakOpen int
	}

	// DatabaseFaults describes the faults of an instance; the zero value has none.
	DatabaseFaults struct {
		// With Down, the instance refuses connections and drops open ones. With Unresponsive, it leaves connections and statements without
		// an answer. With NoReplication, it receives no commits.
		Down, Unresponsive, NoReplication bool
		// With LoseAnswers, the instance runs the statements of callers and does not answer them.
		LoseAnswers bool
		// Answers describes what the instance does to the answers that it sends.
		Answers AnswerFaults
		// Start describes what the instance does while it is not warm.
		Start StartFaults
	}

	// LateCommit is a commit that an instance made after a promotion had replaced it, and acknowledged.
	LateCommit struct {
		ID                      model.RequestID
		Instance                model.InstanceName
		PromotedAt, CommittedAt time.Time
	}

	// CutOff is a commit that an instance acknowledged and a promotion removed.
	CutOff struct {
		ID                  model.RequestID
		Mark                model.Mark
		AckedAt, PromotedAt time.Time
		// Promoted is the promoted instance.
		Promoted model.InstanceName
	}
)

// NewCluster returns a cluster whose instances are in term 1 and have empty logs.
func NewCluster(config ClusterConfig) *Cluster {
	c := &Cluster{
		config: config, databases: map[model.InstanceName]*database{}, acked: map[model.RequestID]model.Mark{},
		ackedAt: map[model.RequestID]time.Time{}, random: newAnswerRandom(config.Seed),
	}
	for _, instance := range config.Instances {
		c.databases[instance.Name] = &database{instance: instance, term: 1}
	}
	return c
}

// OnChange sets a function that is called, in a goroutine of its own, when the role of an instance has changed. It must be set before the
// cluster is used.
func (c *Cluster) OnChange(onChange func(model.Instance)) { c.onChange = onChange }

// SetFaults replaces the faults of an instance. An instance that goes down drops its connections.
func (c *Cluster) SetFaults(name model.InstanceName, faults DatabaseFaults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.databases[name]
	if faults.Down && !d.faults.Down {
		d.generation++
	}
	d.faults = faults
}

// PeakConnections returns the most connections that an instance had open at once.
func (c *Cluster) PeakConnections(name model.InstanceName) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.databases[name].peakOpen
}

// Primary returns the primary of the highest term and that term; the name is empty while there is no primary.
func (c *Cluster) Primary() (model.InstanceName, model.Term) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.primary()
	if p == nil {
		return "", 0
	}
	return p.instance.Name, p.term
}

func (c *Cluster) primary() *database {
	var best *database
	for _, d := range c.databases {
		if d.instance.Role == model.RolePrimary && (best == nil || d.term > best.term) {
			best = d
		}
	}
	return best
}

// CommitCount returns how many times a write is in the log of the primary of the highest term.
func (c *Cluster) CommitCount(id model.RequestID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	primary := c.primary()
	if primary == nil {
		return 0
	}
	return primary.log.counts[id]
}

// Kept returns how many times each write is in the log of the primary of the highest term, at one moment; it returns false while there is no
// primary.
func (c *Cluster) Kept() (map[model.RequestID]int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	primary := c.primary()
	if primary == nil {
		return nil, false
	}
	return maps.Clone(primary.log.counts), true
}

// end returns the end of the log.
func (d *database) end() model.Mark { return d.log.end() }

// Dial opens a connection to an instance. If the instance is unresponsive, Dial returns an error only at the deadline.
func (c *Cluster) Dial(deadline time.Time, instance model.Instance, team model.TeamName) (model.InstanceConn, error) {
	c.mu.Lock()
	d := c.databases[instance.Name]
	if d == nil {
		c.mu.Unlock()
		return nil, &model.RefusedError{Fault: model.FaultMisdirected}
	}
	faults, generation := d.faults, d.generation
	c.mu.Unlock()
	if faults.Unresponsive {
		time.Sleep(time.Until(deadline))
		return nil, context.DeadlineExceeded
	}
	if faults.Down {
		return nil, errors.New("connection refused")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	d.open++
	d.peakOpen = max(d.peakOpen, d.open)
	return &clusterConn{cluster: c, database: d, team: team, generation: generation}, nil
}
