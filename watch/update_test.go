package watch

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

func storedRow(key string, version int64) model.StoredRow {
	return model.StoredRow{Table: "t", Key: key, Version: version, Value: []byte(strconv.FormatInt(version, 10))}
}

func removedRow(key string, version int64) model.StoredRow {
	return model.StoredRow{Table: "t", Key: key, Version: version, Removed: true}
}

func rowsPage(version int64, rows ...model.StoredRow) model.RowsPage {
	return model.RowsPage{Version: version, Rows: rows}
}

// TestUpdateHoldsOnlyChangedRows guards against full tables where a delta suffices: with 137 VMs, each change of one row sent all rows
// from the reader of a failure domain to each of 46 VMs, which kept its link busy for more than a second.
func TestUpdateHoldsOnlyChangedRows(t *testing.T) {
	var table cachedTable
	at := time.Unix(100, 0)
	require.True(t, table.merge(rowsPage(10, storedRow("a", 7), storedRow("b", 9), storedRow("c", 10)), true, at))
	require.True(t, table.merge(rowsPage(12, storedRow("a", 11), removedRow("b", 12)), false, at))
	require.True(t, table.updateSince(at, "t", 0).Whole, "a VM without rows gets all of them")
	require.True(t, table.updateSince(at, "t", 9).Whole, "a removal before the table was read is unknown")
	changed := table.updateSince(at, "t", 10)
	require.False(t, changed.Whole)
	require.ElementsMatch(t, []model.StoredRow{storedRow("a", 11), removedRow("b", 12)}, changed.Rows)
	require.Equal(t, []model.StoredRow{removedRow("b", 12)}, table.updateSince(at, "t", 11).Rows)
	require.Empty(t, table.updateSince(at, "t", 12).Rows)
	require.True(t, table.merge(rowsPage(13, storedRow("b", 13)), false, at))
	require.Equal(t, []model.StoredRow{storedRow("b", 13)}, table.updateSince(at, "t", 12).Rows,
		"a row that was written again is no longer removed")
}

// TestRelayedTablesAreEqual forwards random changes along a chain of cached tables, each of which is updated at random moments.
func TestRelayedTablesAreEqual(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		chain := make([]cachedTable, 4)
		at := time.Unix(100, 0)
		chain[0].merge(rowsPage(1), true, at)
		for version := int64(2); version < 1500; version++ {
			key := strconv.Itoa(r.IntN(700))
			row := storedRow(key, version)
			if r.IntN(2) == 0 {
				row = removedRow(key, version)
			}
			chain[0].merge(rowsPage(version, row), false, at)
			for i := 1; i < len(chain); i++ {
				if r.IntN(20) == 0 {
					relayUpdate(&chain[i-1], &chain[i], at)
				}
			}
		}
		for i := 1; i < len(chain); i++ {
			relayUpdate(&chain[i-1], &chain[i], at)
			require.Equal(t, chain[0].rows, chain[i].rows, "seed %d, table %d", seed, i)
		}
	}
}

func relayUpdate(from, to *cachedTable, at time.Time) {
	version, _ := to.versionAndTime()
	update := from.updateSince(at, "t", version)
	if update.Version > 0 {
		to.merge(model.RowsPage{Version: update.Version, Rows: update.Rows}, update.Whole, at)
	}
}
