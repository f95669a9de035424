package view

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/model"
)

const (
	headKey     = "view/head"
	snapshotKey = "view/snapshot"
	logPrefix   = "view/log/"

	// SnapshotEvery is the number of changes between two snapshots.
	SnapshotEvery = 64
	// scanLimit bounds the log rows that one scan returns.
	scanLimit = 256
	// readBackAttempts bounds the attempts to read a change back after its answer was lost.
	readBackAttempts = 3
)

// Head is the newest version in the store.
type Head struct {
	Version  model.Version
	ChangeID string
	revision int64
}

// Log keeps the changes of the view in the platform's table and its snapshots in the object store.
type Log struct {
	table   model.Table
	objects model.Objects
}

// NewLog returns a log on the platform's services.
func NewLog(table model.Table, objects model.Objects) *Log {
	return &Log{table: table, objects: objects}
}

// Head reads the newest version.
func (l *Log) Head(ctx context.Context) (Head, error) {
	row, err := l.table.Get(ctx, headKey)
	if err != nil {
		return Head{}, err
	}
	head := Head{revision: row.Revision}
	if row.Revision == 0 {
		return head, nil
	}
	err = json.Unmarshal(row.Value, &head)
	head.revision = row.Revision
	return head, err
}

// Since returns the changes after a version, oldest first, at most scanLimit of them.
func (l *Log) Since(ctx context.Context, version model.Version) ([]Change, error) {
	rows, err := l.table.Scan(ctx, logKey(version), logPrefix+"~", scanLimit)
	if err != nil {
		return nil, err
	}
	changes := make([]Change, 0, len(rows))
	for _, row := range rows {
		change, err := DecodeChange(row.Value)
		if err != nil {
			return nil, errors.Wrapf(err, "row %s", row.Key)
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// Append commits a change on top of head. It returns model.ErrConflict if another change came first
// and model.ErrUncertain if reading back did not establish the outcome.
func (l *Log) Append(ctx context.Context, head Head, change Change) error {
	body, err := change.Encode()
	if err != nil {
		return err
	}
	next, err := json.Marshal(Head{Version: change.Version, ChangeID: change.ID})
	if err != nil {
		return err
	}
	err = l.table.Commit(ctx, model.Commit{
		Conditions: []model.Condition{{Key: headKey, Revision: head.revision}},
		Writes: []model.Write{
			{Key: headKey, Value: next},
			{Key: logKey(change.Version), Value: body},
		},
	})
	if errors.Is(err, model.ErrUncertain) {
		return l.resolveUncertain(ctx, change)
	}
	return err
}

// resolveUncertain reads the log after the answer to a commit was lost, to establish whether the change was committed.
func (l *Log) resolveUncertain(ctx context.Context, change Change) error {
	for range readBackAttempts {
		row, err := l.table.Get(ctx, logKey(change.Version))
		if err != nil {
			continue
		}
		if row.Revision == 0 {
			return model.ErrUncertain
		}
		found, err := DecodeChange(row.Value)
		if err != nil {
			return err
		}
		if found.ID == change.ID {
			return nil
		}
		return model.ErrConflict
	}
	return model.ErrUncertain
}

// Load returns the full view, from the newest snapshot and the changes after it.
func (l *Log) Load(ctx context.Context) (*State, error) {
	state, err := l.loadSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	return l.CatchUp(ctx, state)
}

// CatchUp applies all changes that the store holds after state and returns the result.
func (l *Log) CatchUp(ctx context.Context, state *State) (*State, error) {
	for {
		changes, err := l.Since(ctx, state.Version)
		if err != nil {
			return nil, err
		}
		for _, change := range changes {
			if state, err = state.Apply(change); err != nil {
				return nil, err
			}
		}
		if len(changes) < scanLimit {
			return state, nil
		}
	}
}

func (l *Log) loadSnapshot(ctx context.Context) (*State, error) {
	row, err := l.table.Get(ctx, snapshotKey)
	if err != nil {
		return nil, err
	}
	if row.Revision == 0 {
		return Empty(), nil
	}
	body, found, err := l.objects.GetObject(ctx, string(row.Value))
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, errors.Newf("the snapshot %s is missing in the object store", row.Value)
	}
	return Restore(body)
}

// Snapshot stores the full view and removes the log rows that two snapshots cover.
func (l *Log) Snapshot(ctx context.Context, state *State) error {
	body, err := state.Snapshot()
	if err != nil {
		return err
	}
	name := fmt.Sprintf("view-snapshot-%012d", state.Version)
	if err := l.objects.PutObject(ctx, name, body); err != nil {
		return err
	}
	row, err := l.table.Get(ctx, snapshotKey)
	if err != nil {
		return err
	}
	if row.Revision != 0 && string(row.Value) >= name {
		return nil
	}
	return l.table.Commit(ctx, model.Commit{
		Conditions: []model.Condition{{Key: snapshotKey, Revision: row.Revision}},
		Writes:     append(l.deletesOfObsoleteRows(ctx, state.Version), model.Write{Key: snapshotKey, Value: []byte(name)}),
	})
}

// deletesOfObsoleteRows returns deletes of the log rows that no reader needs; after a failed scan they are left to the next snapshot.
func (l *Log) deletesOfObsoleteRows(ctx context.Context, version model.Version) []model.Write {
	until := version - 2*SnapshotEvery
	if until <= 0 {
		return nil
	}
	rows, err := l.table.Scan(ctx, logPrefix, logKey(until), scanLimit)
	if err != nil {
		return nil
	}
	writes := make([]model.Write, 0, len(rows))
	for _, row := range rows {
		writes = append(writes, model.Write{Key: row.Key, Delete: true})
	}
	return writes
}

// Stamp returns a change with its version, ID and time set. The version is the one that follows after.
func Stamp(change Change, after model.Version, id string, now time.Time) Change {
	change.Version = after + 1
	change.ID = id
	change.At = now
	return change
}

func logKey(version model.Version) string {
	return fmt.Sprintf("%s%012d", logPrefix, version)
}
