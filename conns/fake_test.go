package conns

import (
	"fmt"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// fakeInstanceConn records the text of the queries that it is sent.
type fakeInstanceConn struct {
	mu     sync.Mutex
	sent   []string
	closed bool
	dead   bool
	answer func(q model.Query) (model.Reply, error)
}

func (f *fakeInstanceConn) Exchange(_ time.Time, queries ...model.Query) ([]model.Reply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var replies []model.Reply
	for _, q := range queries {
		f.sent = append(f.sent, q.Text)
		reply := model.Reply{State: model.TxNone}
		if q.ID != "" {
			reply.Proof = fmt.Sprintf("proof %d", len(f.sent))
		}
		if f.answer != nil {
			var err error
			if reply, err = f.answer(q); err != nil {
				return replies, err
			}
		}
		replies = append(replies, reply)
	}
	return replies, nil
}

func (f *fakeInstanceConn) Receive(time.Time) (model.Reply, error) {
	return model.Reply{}, model.ErrNoAnswer
}

func (f *fakeInstanceConn) Idle() bool { return !f.dead }

func (f *fakeInstanceConn) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
}

func (f *fakeInstanceConn) Status(time.Time) (model.InstanceState, error) {
	return model.InstanceState{}, nil
}

func (f *fakeInstanceConn) Resume(time.Time) (model.InstanceState, error) {
	return model.InstanceState{}, nil
}

func (f *fakeInstanceConn) Pause(time.Time, model.Term) (model.InstanceState, error) {
	return model.InstanceState{}, nil
}

func (f *fakeInstanceConn) Demote(time.Time, model.Term) (model.InstanceState, error) {
	return model.InstanceState{}, nil
}

type fakeDialer struct {
	mu    sync.Mutex
	conns []*fakeInstanceConn
	teams []model.TeamName
	err   error
	// deadline is that of the last connection.
	deadline time.Time
	// wait is how long a connection that fails takes to fail.
	wait time.Duration
	// answer is that of the connections.
	answer func(q model.Query) (model.Reply, error)
}

func (d *fakeDialer) Dial(deadline time.Time, _ model.Instance, team model.TeamName) (model.InstanceConn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deadline = deadline
	if d.err != nil {
		time.Sleep(d.wait)
		return nil, d.err
	}
	conn := &fakeInstanceConn{answer: d.answer}
	d.conns = append(d.conns, conn)
	d.teams = append(d.teams, team)
	return conn, nil
}
