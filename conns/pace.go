package conns

import "time"

const (
	// minPace is the shortest pause after an instance had no slot for a statement.
	minPace = time.Millisecond
	// paceIncrease multiplies the pause each time the instance had no slot, and paceDecrease is the part that is taken off each time it had one.
	paceIncrease = 2
	paceDecrease = 0.125
	// maxPaceTurns bounds the pause, in times that all slots take to come free; other VMs then use nearly all of them.
	maxPaceTurns = 4
)

// pace spaces the statements to an instance that had no free slot, so that each is sent when a slot is expected. Other VMs send to the same
// slots, so the pauses grow while the instance stays full.
type pace struct {
	// interval is the pause between two statements; it is 0 while the instance has free slots.
	interval  time.Duration
	notBefore time.Time
	// slotFree is the time after which a slot of a full instance is expected to come free, and allFree that for all of them.
	slotFree, allFree time.Duration
}

// allows reports whether a statement may be sent now.
func (p *pace) allows(now time.Time) bool { return !now.Before(p.notBefore) }

// granted records that a statement is about to be sent.
func (p *pace) granted(now time.Time) {
	if now.Sub(p.notBefore) >= max(p.allFree, p.interval) {
		p.interval = 0 // Fewer statements come than the instance serves.
	}
	if p.interval > 0 {
		p.notBefore = now.Add(p.interval)
	}
}

// full records that the instance had no slot; service is how long it usually takes for a statement.
func (p *pace) full(now time.Time, service time.Duration, slots int) {
	p.slotFree = max(service/time.Duration(max(1, slots)), minPace)
	p.allFree = max(service, p.slotFree)
	p.interval = min(max(paceIncrease*p.interval, p.slotFree), maxPaceTurns*p.allFree)
	p.notBefore = now.Add(p.interval)
}

// served records that the instance had a slot.
func (p *pace) served(now time.Time) {
	if p.interval == 0 {
		return
	}
	p.interval = max(p.interval-time.Duration(paceDecrease*float64(p.interval)), p.slotFree)
	if latest := now.Add(p.interval); p.notBefore.After(latest) {
		p.notBefore = latest
	}
}
