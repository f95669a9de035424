package peers

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/retry"
	"github.com/crocusshore/crocusshore/watch"
)

const (
	// transferRate is a rate, in bytes a second, at which every reader can send large rows beside its other traffic. The VMs of a failure domain
	// spread their requests accordingly, so that the rows do not delay the reader's answers about other tables.
	transferRate = 1 << 20
	// maxTransferDelay bounds how long the request for a large row is put off, and transferTimeout that request. Together they end before the
	// VM would read the store itself.
	maxTransferDelay = time.Second
	transferTimeout  = 1200 * time.Millisecond
)

// receive applies an update that was current at an instant. Rows that the update only names are requested separately, without waiting for them.
func (r *Relay) receive(ctx context.Context, peer netip.AddrPort, update watch.TableUpdate, currentAt time.Time) {
	deferred := deferredBytes(update)
	if deferred == 0 {
		r.applyUpdate(peer, update, currentAt)
		return
	}
	if !r.transfers.tryBegin(update.Table) {
		return
	}
	vms, _ := r.Rankings.Counts(clock.Now(), r.Domain)
	delay := transferDelay(vms, deferred, rand.Float64())
	go func() {
		defer r.transfers.end(update.Table)
		if !retry.Sleep(ctx, delay) {
			return
		}
		r.transfer(ctx, peer, update, currentAt)
	}()
}

// transfer requests the rows that an update names and applies it.
func (r *Relay) transfer(ctx context.Context, peer netip.AddrPort, update watch.TableUpdate, currentAt time.Time) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	update.Encoded = slices.Clone(update.Encoded)
	for i, row := range update.Encoded {
		if row.Data != nil {
			continue
		}
		data, err := r.Client.Row(ctx, peer, row.RowReference)
		if err != nil {
			r.Log.Info("large row not received", "peer", peer, "table", row.Table, "row-version", row.Version, "encoding", row.Encoding,
				"bytes", row.Bytes, "error", err)
			return
		}
		update.Encoded[i].Data = data
	}
	r.applyUpdate(peer, update, currentAt)
}

// applyUpdate decodes an update and applies it. One that cannot be decoded is discarded as a whole.
func (r *Relay) applyUpdate(peer netip.AddrPort, update watch.TableUpdate, currentAt time.Time) {
	page, err := r.Watcher.Resolve(update)
	if err != nil {
		r.transfers.recordDecoded(update.Table, false)
		r.Log.Warn("update of a table discarded", "peer", peer, "table", update.Table, "version", update.Version, "error", err)
		return
	}
	if len(page.Rows) > 0 {
		r.transfers.recordDecoded(update.Table, true)
	}
	r.Watcher.Apply(update.Table, page, update.Whole, currentAt)
}

// deferredBytes returns the length of the encodings that an update only names.
func deferredBytes(update watch.TableUpdate) int {
	bytes := 0
	for _, row := range update.Encoded {
		if row.Data == nil {
			bytes += row.Bytes
		}
	}
	return bytes
}

// transferDelay returns how long a VM puts off its request for large rows; random is in [0, 1).
func transferDelay(vms, bytes int, random float64) time.Duration {
	spread := time.Duration(float64(vms) * float64(bytes) / transferRate * float64(time.Second))
	return time.Duration(random * float64(min(spread, maxTransferDelay)))
}
