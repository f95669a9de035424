package memory

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// Account is the memory that one connection takes of the budget; a nil Account has no limit. Close may be called from another goroutine.
type Account struct {
	budget *Budget
	// request and answer are the rooms of the present statement and of its answer.
	request, answer *Room
	session         *sessionRoom
}

// OpenCaller returns the account of a connection of a caller.
func (b *Budget) OpenCaller() *Account {
	return &Account{
		budget: b, request: newRoom(b, UseMediumRequests, UseLargeRequests, KindRequest),
		answer: newRoom(b, UseMediumAnswers, UseLargeAnswers, KindAnswer), session: &sessionRoom{budget: b},
	}
}

// OpenPeer returns the room of a message of another VM, or of a stream of them.
func (b *Budget) OpenPeer() *Room {
	if b == nil {
		return nil
	}
	return newRoom(b, UseMediumPeers, UseLargePeers, KindPeerMessage)
}

// SetTeam names the team of the connection, which has taken nothing yet.
func (a *Account) SetTeam(team model.TeamName) {
	if a == nil {
		return
	}
	a.request.setTeam(team)
	a.answer.setTeam(team)
	a.session.setTeam(team)
}

// Request returns the room of the present statement.
func (a *Account) Request() *Room {
	if a == nil {
		return nil
	}
	return a.request
}

// Answer returns the room of the answer to the present statement.
func (a *Account) Answer() *Room {
	if a == nil {
		return nil
	}
	return a.answer
}

// SetSession reserves memory for the values and prepared statements of the session, given their total size in bytes and their number. It returns
// ErrSessionFull if no session may have as many, and ErrNoRoom if there is no memory now; then the reservation has not changed.
func (a *Account) SetSession(now time.Time, bytes, entries int) error {
	if a == nil {
		return nil
	}
	if entries > SessionEntries || bytes > SessionBytes {
		a.budget.counts.Add(KindSession)
		return ErrSessionFull
	}
	return a.session.set(now, int64(bytes))
}

// EndStatement returns the memory of the present statement and its answer to the budget.
func (a *Account) EndStatement() {
	if a == nil {
		return
	}
	a.request.Release()
	a.answer.Release()
}

// Close returns all memory of the connection to the budget; it takes none from then on.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.request.Close()
	a.answer.Close()
	a.session.close()
}
