package peers

import (
	"maps"
	"net/netip"
	"time"
)

// tokenAnswerTime is how long after a request for tokens they may be granted; it is long for a datagram there and back.
const tokenAnswerTime = 2 * time.Second

// tokenRequest is a request for tokens that was sent to a VM.
type tokenRequest struct {
	to     netip.AddrPort
	sentAt time.Time
}

// expectTokens returns the ID of a request for tokens that is sent now.
func (r *RateLimiter) expectTokens(now time.Time, to netip.AddrPort) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.wanted, func(_ uint64, request tokenRequest) bool { return request.isOver(now) })
	r.lastID++
	r.wanted[r.lastID] = tokenRequest{to: to, sentAt: now}
	return r.lastID
}

// takeExpected reports whether tokens that are granted now were requested and not granted before. A datagram may arrive twice. An older program names
// no request: its tokens are those of any request that was sent to it.
func (r *RateLimiter) takeExpected(now time.Time, from netip.AddrPort, id uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id == 0 {
		id = r.anyRequestTo(from)
	}
	request, known := r.wanted[id]
	delete(r.wanted, id)
	return known && !request.isOver(now)
}

// anyRequestTo returns the ID of a request for tokens that was sent to an address, and 0 if there is none; the caller holds the lock.
func (r *RateLimiter) anyRequestTo(address netip.AddrPort) uint64 {
	for id, request := range r.wanted {
		if request.to == address {
			return id
		}
	}
	return 0
}

// isOver reports whether no answer to the request is awaited any more.
func (t tokenRequest) isOver(now time.Time) bool { return now.Sub(t.sentAt) > tokenAnswerTime }
