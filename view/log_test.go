package view

import (
	"context"
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

// fakeTable is a table in memory that can lose a commit before it takes effect, or only the answer after it.
type fakeTable struct {
	rows       map[string]model.Row
	objects    map[string][]byte
	revision   int64
	loseAnswer bool
	loseCommit bool
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: map[string]model.Row{}, objects: map[string][]byte{}}
}

func (f *fakeTable) Get(_ context.Context, key string) (model.Row, error) { return f.rows[key], nil }

func (f *fakeTable) Scan(_ context.Context, after, until string, limit int) ([]model.Row, error) {
	var found []model.Row
	for key, row := range f.rows {
		if key > after && key <= until {
			found = append(found, row)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found[:min(limit, len(found))], nil
}

func (f *fakeTable) Commit(_ context.Context, commit model.Commit) error {
	if f.loseCommit {
		return model.ErrUncertain
	}
	for _, condition := range commit.Conditions {
		if f.rows[condition.Key].Revision != condition.Revision {
			return model.ErrConflict
		}
	}
	f.revision++
	for _, write := range commit.Writes {
		if write.Delete {
			delete(f.rows, write.Key)
			continue
		}
		f.rows[write.Key] = model.Row{Key: write.Key, Revision: f.revision, Value: write.Value}
	}
	if f.loseAnswer {
		return model.ErrUncertain
	}
	return nil
}

func (f *fakeTable) PutObject(_ context.Context, name string, value []byte) error {
	f.objects[name] = value
	return nil
}

func (f *fakeTable) GetObject(_ context.Context, name string) ([]byte, bool, error) {
	value, found := f.objects[name]
	return value, found, nil
}

func appendOne(t *testing.T, l *Log, id string) error {
	ctx := context.Background()
	head, err := l.Head(ctx)
	require.NoError(t, err)
	change := Change{}
	require.NoError(t, change.Put(PlacementKey("G"), Placement{Term: model.Term(head.Version + 1)}))
	return l.Append(ctx, head, Stamp(change, head.Version, id, time.Time{}))
}

func TestAppendReadsBackAfterALostAnswer(t *testing.T) {
	table := newFakeTable()
	l := NewLog(table, table)
	table.loseAnswer = true
	require.NoError(t, appendOne(t, l, "mine"), "the change is found by reading back")
	table.loseAnswer, table.loseCommit = false, true
	require.ErrorIs(t, appendOne(t, l, "lost"), model.ErrUncertain, "the commit may still take effect")
	table.loseCommit = false
	require.NoError(t, appendOne(t, l, "next"))
	head, err := l.Head(context.Background())
	require.NoError(t, err)
	require.EqualValues(t, 2, head.Version)
}

func TestOnlyOneOfTwoConcurrentAppendsSucceeds(t *testing.T) {
	table := newFakeTable()
	l := NewLog(table, table)
	ctx := context.Background()
	head, err := l.Head(ctx)
	require.NoError(t, err)
	require.NoError(t, l.Append(ctx, head, Stamp(Change{}, 0, "first", time.Time{})))
	require.ErrorIs(t, l.Append(ctx, head, Stamp(Change{}, 0, "second", time.Time{})), model.ErrConflict)
	table.loseAnswer = true
	require.ErrorIs(t, l.Append(ctx, head, Stamp(Change{}, 0, "third", time.Time{})), model.ErrConflict)
}

func TestLoadAppliesTheLogAfterTheSnapshot(t *testing.T) {
	table := newFakeTable()
	l := NewLog(table, table)
	ctx := context.Background()
	state := Empty()
	for i := range 5 * SnapshotEvery / 2 {
		require.NoError(t, appendOne(t, l, fmt.Sprint(i)))
		var err error
		state, err = l.CatchUp(ctx, state)
		require.NoError(t, err)
		if state.Version%SnapshotEvery == 0 {
			require.NoError(t, l.Snapshot(ctx, state))
			require.NoError(t, l.Snapshot(ctx, state), "a second VM may store the same snapshot")
		}
	}
	loaded, err := l.Load(ctx)
	require.NoError(t, err)
	require.Equal(t, state.Version, loaded.Version)
	require.Equal(t, state.Placements, loaded.Placements)
}
