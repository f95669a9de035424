package view

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/retry"
)

const (
	// maxCommitAttempts bounds the attempts of one commit that conflicts with others.
	maxCommitAttempts = 20
	// announceInterval is the pause between two rounds of announcements to the stewards that have not acknowledged a change.
	announceInterval = 50 * time.Millisecond
	// maxActivations bounds how many versions behind the newest an activation is kept.
	maxActivations = 128
)

// commitBackoff spreads the attempts of committers that conflicted with one another.
var commitBackoff = retry.Backoff{Base: 10 * time.Millisecond, Max: 300 * time.Millisecond}

// ErrNoChange is returned by a Builder that finds nothing to do.
var ErrNoChange = errors.New("nothing to change")

type (
	// Builder builds a change on top of a state; it is called again after a conflict.
	Builder func(state *State) (Change, error)
	// Announcer announces changes to other processes.
	Announcer interface {
		// Announce sends the changes after a version to the address of a member. It returns the boot identifier of the
		// process that answered, which may be another process than the member, and the version that it holds then.
		Announce(ctx context.Context, member Member, after model.Version) (model.BootID, model.Version, error)
		// Broadcast sends a change to all other VMs without waiting for answers.
		Broadcast(change Change)
	}
	// Clock returns the present time.
	Clock func() time.Time
)

// CommitterConfig holds the dependencies of a committer.
type CommitterConfig struct {
	Cache     *Cache
	Log       *Log
	Announcer Announcer
	Now       Clock
	NewID     func() string
	// OnError is called with errors of background work, which no caller receives.
	OnError func(error)
}

// Committer commits changes of the view and tracks them until they are in effect.
type Committer struct {
	config CommitterConfig

	mu          sync.Mutex
	activations map[model.Version]*Activation
}

// NewCommitter returns a committer.
func NewCommitter(config CommitterConfig) *Committer {
	return &Committer{config: config, activations: map[model.Version]*Activation{}}
}

// Commit commits a change and returns its version; the change takes effect later (see Await).
// It returns model.ErrConflict if other changes came first in every attempt,
// and model.ErrUncertain if it could not be established whether the change was committed.
func (c *Committer) Commit(ctx context.Context, build Builder) (model.Version, error) {
	for attempt := range maxCommitAttempts {
		version, err := c.attempt(ctx, build)
		if err == nil || !errors.Is(err, model.ErrConflict) {
			return version, err
		}
		if !retry.Sleep(ctx, commitBackoff.Delay(attempt, rand.Float64())) {
			return 0, ctx.Err()
		}
	}
	return 0, errors.Wrapf(model.ErrConflict, "gave up after %d tries", maxCommitAttempts)
}

func (c *Committer) attempt(ctx context.Context, build Builder) (model.Version, error) {
	head, err := c.config.Log.Head(ctx)
	if err != nil {
		return 0, err
	}
	if err := c.catchUp(ctx, head.Version); err != nil {
		return 0, err
	}
	before := c.config.Cache.State()
	if before.Version != head.Version {
		return 0, model.ErrConflict
	}
	change, err := build(before)
	if err != nil {
		return 0, err
	}
	change = Stamp(change, before.Version, c.config.NewID(), c.config.Now())
	after, err := before.Apply(change)
	if err != nil {
		return 0, err
	}
	sentAt := c.config.Now()
	if err := c.config.Log.Append(ctx, head, change); err != nil {
		return 0, err
	}
	c.afterCommit(ctx, sentAt, before, after, change)
	return change.Version, nil
}

func (c *Committer) catchUp(ctx context.Context, version model.Version) error {
	state := c.config.Cache.State()
	if state.Version >= version {
		return nil
	}
	changes, err := c.config.Log.Since(ctx, state.Version)
	if err != nil {
		return err
	}
	return c.config.Cache.Apply(changes)
}

func (c *Committer) afterCommit(ctx context.Context, sentAt time.Time, before, after *State, change Change) {
	activation := NewActivation(ActivationConfig{Before: before, After: after, Change: change, CommittedBy: c.config.Now()})
	c.mu.Lock()
	c.activations[change.Version] = activation
	c.dropOldActivations(change.Version)
	c.mu.Unlock()
	if err := c.config.Cache.Apply([]Change{change}); err != nil {
		c.config.OnError(err)
	}
	// The change was the newest at some instant after the commit was sent.
	c.config.Cache.Confirm(Confirmation{Version: change.Version, At: sentAt})
	c.config.Announcer.Broadcast(change)
	go c.announceUntilInEffect(context.WithoutCancel(ctx), activation)
	if change.Version%SnapshotEvery == 0 {
		go c.storeSnapshot(context.WithoutCancel(ctx), after)
	}
}

func (c *Committer) storeSnapshot(ctx context.Context, state *State) {
	if err := c.config.Log.Snapshot(ctx, state); err != nil {
		c.config.OnError(errors.Wrap(err, "snapshot of the view"))
	}
}

func (c *Committer) dropOldActivations(newest model.Version) {
	for version := range c.activations {
		if version < newest-maxActivations {
			delete(c.activations, version)
		}
	}
}

// Track tracks the activation of a held version that another process may have committed, unless it is tracked already.
// The version must have changed no settings and no keys, since only the write bound is waited for.
func (c *Committer) Track(ctx context.Context, version model.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.config.Cache.State()
	if c.activations[version] != nil || state.Version < version {
		return
	}
	change := Change{Version: version, Deletes: []string{placementPrefix}}
	activation := NewActivation(ActivationConfig{Before: state, After: state, Change: change, CommittedBy: c.config.Now()})
	c.activations[version] = activation
	go c.announceUntilInEffect(context.WithoutCancel(ctx), activation)
}

// InEffect reports whether it is established here that a version is in effect; false can also mean that it is not tracked here.
func (c *Committer) InEffect(now time.Time, version model.Version) bool {
	_, inEffect := c.InEffectSince(now, version)
	return inEffect
}

// InEffectSince returns an instant from which on a version is in effect, and whether that is established here.
func (c *Committer) InEffectSince(now time.Time, version model.Version) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	activation := c.activations[version]
	if activation == nil || !activation.InEffect(now) {
		return time.Time{}, false
	}
	return activation.InEffectAt(), true
}

// Await waits until a version is in effect. If ctx ends first, it returns false and the stewards that have not acknowledged the version.
func (c *Committer) Await(ctx context.Context, version model.Version) (inEffect bool, missing []Member) {
	for {
		if c.InEffect(c.config.Now(), version) {
			return true, nil
		}
		if !retry.Sleep(ctx, announceInterval) {
			return false, c.unacknowledged(version)
		}
	}
}

func (c *Committer) unacknowledged(version model.Version) []Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	if activation := c.activations[version]; activation != nil {
		return activation.Missing()
	}
	return nil
}

// announceUntilInEffect announces a change to the stewards that have not acknowledged it, until it is in effect.
func (c *Committer) announceUntilInEffect(ctx context.Context, activation *Activation) {
	for !c.InEffect(c.config.Now(), activation.Version()) {
		missing := c.unacknowledged(activation.Version())
		var wait sync.WaitGroup
		for _, member := range missing {
			wait.Go(func() { c.announceTo(ctx, activation, member) })
		}
		wait.Wait()
		if !retry.Sleep(ctx, announceInterval) {
			return
		}
	}
}

func (c *Committer) announceTo(ctx context.Context, activation *Activation, member Member) {
	boot, version, err := c.config.Announcer.Announce(ctx, member, activation.Version()-1)
	if err != nil {
		return
	}
	// An answer from another process at the address shows that the steward's process has ended.
	if boot == member.Boot && version < activation.Version() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	activation.Acknowledge(c.config.Now(), member.Boot)
}
