package stand

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

const syncInterval = 10 * time.Millisecond

// replicate copies the log of the source until the instance is closed.
func (i *Instance) replicate() {
	for {
		source, changed := i.sourceAndChanged()
		timer := time.NewTimer(syncInterval)
		select {
		case <-i.stop:
			timer.Stop()
			return
		case <-changed:
			timer.Stop()
		case <-timer.C:
		}
		if source != nil {
			i.replicateOnce(source)
		}
	}
}

func (i *Instance) sourceAndChanged() (source *Instance, changed chan struct{}) {
	i.mu.Lock()
	source = i.source
	i.mu.Unlock()
	if source == nil {
		return nil, nil
	}
	source.mu.Lock()
	defer source.mu.Unlock()
	return source, source.changed
}

func (i *Instance) replicateOnce(source *Instance) {
	network := i.group.network
	if i.unavailable() || source.unavailable() || !network.Reaches(i.config.Domain, source.config.Domain) {
		time.Sleep(syncInterval)
		return
	}
	time.Sleep(network.OneWayDelay)
	source.mu.Lock()
	entries := source.log[:len(source.log):len(source.log)]
	sourceTerm := source.term
	source.mu.Unlock()
	if i.unavailable() {
		// The instance was paused or went down during the delay. The source may have written records since then, and the instance must
		// not receive them.
		return
	}
	now := time.Now()

	i.mu.Lock()
	defer i.mu.Unlock()
	if i.source != source || sourceTerm < i.term {
		return
	}
	i.truncateDiverged(entries)
	grew := i.copyFrom(entries, now)
	i.syncedAt = now
	if grew {
		i.notifyChanged()
	}
}

// truncateDiverged removes the end of the log that differs from the source's; data is then built again from the beginning.
func (i *Instance) truncateDiverged(entries []record) {
	common := min(len(i.log), len(entries))
	for common > 0 && i.log[common-1].term != entries[common-1].term {
		common--
	}
	if common == len(i.log) {
		return
	}
	i.log = append([]record(nil), i.log[:common]...)
	i.applied = 0
	i.data = data{}
	i.requests = map[model.RequestID]int{}
	for position, r := range i.log {
		i.log[position].applyAt = time.Time{}
		if r.requestID != "" {
			i.requests[r.requestID] = position + 1
		}
	}
}

// copyFrom appends the records of the source that the log lacks, and reports whether there were any.
func (i *Instance) copyFrom(entries []record, now time.Time) bool {
	grew := false
	for position := len(i.log); position < len(entries); position++ {
		r := entries[position]
		r.applyAt = now.Add(i.config.ApplyLag)
		i.log = append(i.log, r)
		if r.requestID != "" {
			i.requests[r.requestID] = position + 1
		}
		grew = true
	}
	return grew
}
