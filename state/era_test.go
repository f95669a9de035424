package state

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
)

// rowsInEra returns the rows with their versions in an era of the store.
func rowsInEra(era int64, rows ...model.StoredRow) []model.StoredRow {
	for i := range rows {
		rows[i].Version = model.VersionIn(era, rows[i].Version)
	}
	return rows
}

// recordRow returns the record of a primary that was written in an era.
func recordRow(t *testing.T, version, era int64, term model.Term, primary model.InstanceName) model.StoredRow {
	t.Helper()
	row, err := PrimaryRecord{Group: "g", Term: term, Primary: primary, Era: era}.Row()
	require.NoError(t, err)
	row.Version = version
	return row
}

// TestRecordOfAnEarlierEraGivesNoNewLease guards against reads of a replica that was the primary: the store forgot its replacement and named it again. A VM
// that knew the later primary goes on with it, as while the store is away, and one that did not uses none.
func TestRecordOfAnEarlierEraGivesNoNewLease(t *testing.T) {
	for name, c := range map[string]struct {
		known  []model.StoredRow
		stored []model.StoredRow
		leased model.Term
	}{
		"a later one is known":    {known: []model.StoredRow{recordRow(t, 9, 0, 2, "p")}, stored: []model.StoredRow{recordRow(t, 5, 0, 1, "q")}, leased: 2},
		"the same one is known":   {known: []model.StoredRow{recordRow(t, 5, 0, 1, "p")}, stored: []model.StoredRow{recordRow(t, 5, 0, 1, "p")}, leased: 1},
		"its record is gone":      {known: []model.StoredRow{recordRow(t, 9, 0, 1, "p")}, leased: 1},
		"an earlier one is known": {known: []model.StoredRow{recordRow(t, 5, 0, 1, "p")}, stored: []model.StoredRow{recordRow(t, 6, 0, 2, "p")}},
		"none is known":           {stored: []model.StoredRow{recordRow(t, 5, 0, 1, "p")}},
		"its replacement is under way": {
			known: []model.StoredRow{primaryRow(t, 9, 1, &Intent{Term: 2})}, stored: []model.StoredRow{recordRow(t, 5, 0, 1, "p")},
		},
	} {
		t.Run(name, func(t *testing.T) {
			cache := New(Config{VM: "vm", Boot: "boot", LeaseTTL: leaseTTL})
			cache.ApplyInstances(1, true, []model.Instance{{Name: "p", Group: "g"}, {Name: "q", Group: "g"}}, nil, at(0))
			if c.known != nil {
				require.NoError(t, cache.ApplyRows(10, true, append(c.known, vmRow(t, 4, "boot")), at(0)))
			}
			later := rowsInEra(1, append(c.stored, vmRow(t, 4, "boot"))...)
			require.NoError(t, cache.ApplyRows(model.VersionIn(1, 6), true, later, at(2000)))
			require.Len(t, cache.Snapshot().Unconfirmed, 1)
			lease, ok := cache.Lease(at(2500), "g")
			require.Equal(t, c.leased > 0, ok)
			if !ok {
				return
			}
			require.Equal(t, c.leased, lease.Term)
			require.False(t, cache.LeaseValid(at(3000), lease), "the table of the later era is no evidence for the record")
			cache.RecordTermCheck("g", c.leased, at(2900))
			require.True(t, cache.LeaseValid(at(3000), lease))
			confirmed := rowsInEra(1, recordRow(t, 7, 1, c.leased, "p"))
			require.NoError(t, cache.ApplyRows(model.VersionIn(1, 7), false, confirmed, at(6000)))
			require.True(t, cache.LeaseValid(at(8000), lease))
			require.Empty(t, cache.Snapshot().Unconfirmed)
		})
	}
}

// TestUnconfirmedRecordStaysSoWhileOtherRowsChange guards against a record that counts as confirmed after the next change of another row.
func TestUnconfirmedRecordStaysSoWhileOtherRowsChange(t *testing.T) {
	cache := newRegistered(t)
	require.NoError(t, cache.ApplyRows(model.VersionIn(1, 6), true, rowsInEra(1, recordRow(t, 5, 0, 1, "p")), at(10)))
	require.NoError(t, cache.ApplyRows(model.VersionIn(1, 7), false, rowsInEra(1, vmRow(t, 7, "boot")), at(20)))
	s := cache.Snapshot()
	require.Equal(t, model.VersionIn(1, 5), s.Unconfirmed["g"].Version)
	require.Equal(t, int64(5), s.Primaries["g"].Version, "the record of before stays")
	require.NoError(t, cache.ApplyRows(model.VersionIn(1, 8), false, rowsInEra(1, model.StoredRow{Table: Table, Key: prefixPrimary + "g", Version: 8, Removed: true}), at(30)))
	require.Equal(t, int64(0), cache.Snapshot().Unconfirmed["g"].Version)
	require.Equal(t, int64(5), cache.Snapshot().Primaries["g"].Version)
}

// TestLatePageOfAnEarlierEraChangesNothing guards against rows that the store forgot and that come back with a late answer.
func TestLatePageOfAnEarlierEraChangesNothing(t *testing.T) {
	cache := newRegistered(t)
	require.NoError(t, cache.ApplyRows(model.VersionIn(1, 2), true, nil, at(10)))
	require.NoError(t, cache.ApplyRows(900, true, []model.StoredRow{vmRow(t, 900, "boot")}, at(20)))
	require.Empty(t, cache.Snapshot().VMs)
	era, since := cache.Era()
	require.Equal(t, int64(1), era)
	require.Equal(t, at(10), since)
}

// TestSettingsDoNotGoBackWithTheStore guards against older settings that come back into effect, and against newer ones that count as older.
func TestSettingsDoNotGoBackWithTheStore(t *testing.T) {
	cache := New(Config{})
	require.True(t, cache.SetPolicy(90, &policy.Policy{Version: 8}))
	require.False(t, cache.SetPolicy(model.VersionIn(1, 40), &policy.Policy{Version: 7}))
	require.True(t, cache.SetPolicy(model.VersionIn(1, 41), &policy.Policy{Version: 9}))
	require.False(t, cache.SetPolicy(91, &policy.Policy{Version: 10}), "a late answer")
}
