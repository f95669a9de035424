package peers

import (
	"math"
	"sync"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/watch"
)

// transferPending is the version of a table in requests while a transfer of its rows is pending. No version is newer, so that the answer neither comes at
// once nor names the same rows again.
const transferPending = math.MaxInt64

// transfers records the tables whose updates are not complete: large rows are requested separately, or an update could not be decoded. It
// is safe for concurrent use.
type transfers struct {
	mu sync.Mutex
	// pending holds the tables of which rows are requested separately.
	pending map[model.TableName]bool
	// discarded counts the consecutive updates of a table that could not be decoded.
	discarded map[model.TableName]int
}

// request returns a request for the tables that are newer than the versions of this VM.
func (t *transfers) request(versions map[model.TableName]int64, held []watch.RowVersion) TablesRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	for table := range t.pending {
		versions[table] = transferPending
	}
	request := TablesRequest{Versions: versions, Understands: watch.AllEncodings(), Held: held}
	for _, discards := range t.discarded {
		if discards > 0 {
			request.Held = nil
		}
		if discards > 1 {
			request.Understands = nil
		}
	}
	return request
}

// tryBegin records a pending transfer, and reports whether there was none.
func (t *transfers) tryBegin(table model.TableName) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending[table] {
		return false
	}
	if t.pending == nil {
		t.pending = map[model.TableName]bool{}
	}
	t.pending[table] = true
	return true
}

// end ends the pending transfer of a table.
func (t *transfers) end(table model.TableName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pending, table)
}

// recordDecoded records whether an update of a table could be decoded. After a failure, the next request asks for whole rows, compressed
// at first and then as they are.
func (t *transfers) recordDecoded(table model.TableName, decoded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if decoded {
		delete(t.discarded, table)
		return
	}
	if t.discarded == nil {
		t.discarded = map[model.TableName]int{}
	}
	t.discarded[table]++
}
