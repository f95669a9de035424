package view

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func FuzzDecodeChange(f *testing.F) {
	valid := Change{Version: 1}
	require.NoError(f, valid.Put(PlacementKey("G"), Placement{Term: 1}))
	require.NoError(f, valid.Put(StewardsKey(), Stewards{Current: []Member{{Boot: "a"}}}))
	body, err := valid.Encode()
	require.NoError(f, err)
	f.Add(body)
	f.Add([]byte(`{"Version":1,"Puts":{"shard/x":1,"key/":{}}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		change, err := DecodeChange(body)
		if err != nil {
			return
		}
		state, err := Empty().Apply(change)
		if err != nil {
			return
		}
		snapshot, err := state.Snapshot()
		require.NoError(t, err)
		restored, err := Restore(snapshot)
		require.NoError(t, err)
		require.Equal(t, state.Version, restored.Version)
		require.Equal(t, state.Placements, restored.Placements)
		require.Equal(t, state.Stewards, restored.Stewards)
	})
}

func TestSnapshotRestoresTheFullView(t *testing.T) {
	change := Change{Version: 1}
	require.NoError(t, change.Put(NodeKey("Fleet"), map[string]any{"Rate": 50, "Burst": 50}))
	require.NoError(t, change.Put(KeyKey("k"), Key{Team: "Sales"}))
	require.NoError(t, change.Put(QuotaShardKey(3), QuotaShard{Holder: Member{Boot: "b"}, Since: 1}))
	state, err := Empty().Apply(change)
	require.NoError(t, err)
	body, err := state.Snapshot()
	require.NoError(t, err)
	restored, err := Restore(body)
	require.NoError(t, err)
	require.Equal(t, state.Keys, restored.Keys)
	require.Equal(t, state.QuotaShards, restored.QuotaShards)
	require.Equal(t, 50.0, restored.FleetSettings().Rate)
}
