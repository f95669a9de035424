package memory

import (
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// Room is the memory that one message takes of the budget. A message of up to FreeBytes takes nothing. A medium one and a large one each take in one step what
// they may need, from shares of their own, so that messages never wait for each other in a circle. A nil Room has no limit.
type Room struct {
	budget        *Budget
	medium, large Use
	kind          Kind

	mu         sync.Mutex
	team       model.TeamName
	heldMedium int64
	heldLarge  int64
	closed     bool
}

// newRoom returns a room that has taken nothing; messages for which there is no memory are counted as kind.
func newRoom(budget *Budget, medium, large Use, kind Kind) *Room {
	return &Room{budget: budget, medium: medium, large: large, kind: kind}
}

// Grow reserves memory for a message of which some bytes have arrived, and waits for it until a time at most. It returns ErrNoRoom if there is none; what was
// reserved before stays reserved.
func (r *Room) Grow(now, until time.Time, bytes int) error {
	if r == nil || bytes <= FreeBytes {
		return nil
	}
	use, cost := r.medium, int64(mediumCost)
	held := &r.heldMedium
	if bytes > MediumBytes {
		use, held = r.large, &r.heldLarge
		cost = max(largeCost, 2*int64(bytes))
	}
	r.mu.Lock()
	missing, team := cost-*held, r.team
	r.mu.Unlock()
	if missing <= 0 {
		return nil
	}
	if !r.budget.take(now, until, use, team, missing) {
		r.budget.counts.Add(r.kind)
		return ErrNoRoom
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		r.budget.give(use, team, missing)
		return ErrNoRoom
	}
	*held += missing
	return nil
}

// Release returns all memory to the budget; the room can be used again.
func (r *Room) Release() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.release()
}

func (r *Room) release() {
	r.budget.give(r.medium, r.team, r.heldMedium)
	r.budget.give(r.large, r.team, r.heldLarge)
	r.heldMedium, r.heldLarge = 0, 0
}

// Close returns all memory to the budget; from then on Grow returns ErrNoRoom.
func (r *Room) Close() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.release()
}

// setTeam names the team that the room belongs to, before it takes anything.
func (r *Room) setTeam(team model.TeamName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.release()
	r.team = team
}
