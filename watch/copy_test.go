package watch

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

func stored(key string, version int64) model.StoredRow {
	return model.StoredRow{Table: "t", Key: key, Version: version, Value: []byte(strconv.FormatInt(version, 10))}
}

func gone(key string, version int64) model.StoredRow {
	return model.StoredRow{Table: "t", Key: key, Version: version, Removed: true}
}

func page(version int64, rows ...model.StoredRow) model.RowsPage {
	return model.RowsPage{Version: version, Rows: rows}
}

// TestCopyHoldsOnlyWhatChanged replays 137 VMs of which one reader a failure domain passes the table on: each change of one row was a
// copy of all rows to each of 46 VMs, which took the reader's link more than a second.
func TestCopyHoldsOnlyWhatChanged(t *testing.T) {
	var c cachedTable
	at := time.Unix(100, 0)
	require.True(t, c.merge(page(10, stored("a", 7), stored("b", 9), stored("c", 10)), true, at))
	require.True(t, c.merge(page(12, stored("a", 11), gone("b", 12)), false, at))
	require.True(t, c.updateSince(at, "t", 0).Whole, "a VM that knows nothing gets all rows")
	require.True(t, c.updateSince(at, "t", 9).Whole, "a row that was removed before the table was read is not known")
	changed := c.updateSince(at, "t", 10)
	require.False(t, changed.Whole)
	require.ElementsMatch(t, []model.StoredRow{stored("a", 11), gone("b", 12)}, changed.Rows)
	require.Equal(t, []model.StoredRow{gone("b", 12)}, c.updateSince(at, "t", 11).Rows)
	require.Empty(t, c.updateSince(at, "t", 12).Rows)
	require.True(t, c.merge(page(13, stored("b", 13)), false, at))
	require.Equal(t, []model.StoredRow{stored("b", 13)}, c.updateSince(at, "t", 12).Rows, "a row that came back is not removed any more")
}

// TestCopiesPassedOnAreEqual passes random changes on along a chain of copies, each of which asks at moments of its own.
func TestCopiesPassedOnAreEqual(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		chain := make([]cachedTable, 4)
		at := time.Unix(100, 0)
		chain[0].merge(page(1), true, at)
		for version := int64(2); version < 1500; version++ {
			key := strconv.Itoa(r.IntN(700))
			row := stored(key, version)
			if r.IntN(2) == 0 {
				row = gone(key, version)
			}
			chain[0].merge(page(version, row), false, at)
			for i := 1; i < len(chain); i++ {
				if r.IntN(20) == 0 {
					pass(&chain[i-1], &chain[i], at)
				}
			}
		}
		for i := 1; i < len(chain); i++ {
			pass(&chain[i-1], &chain[i], at)
			require.Equal(t, chain[0].rows, chain[i].rows, "seed %d, copy %d", seed, i)
		}
	}
}

func pass(from, to *cachedTable, at time.Time) {
	version, _ := to.versionAndTime()
	c := from.updateSince(at, "t", version)
	if c.Version > 0 {
		to.merge(model.RowsPage{Version: c.Version, Rows: c.Rows}, c.Whole, at)
	}
}
