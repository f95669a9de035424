package remote

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/model"
)

// errOnlyStatus reports a statement on a connection for status requests.
var errOnlyStatus = errors.Mark(errors.New("the connection is for status requests only"), model.ErrNotSent)

// statusConn answers status requests to an instance whose connections this VM owns, from answers that are shared; it implements model.PooledConn.
type statusConn struct {
	source  *Source
	request conns.Request
}

// Setup refuses, because the connection is for status requests only.
func (c *statusConn) Setup(time.Time, map[string]string, *model.Prepared) error { return errOnlyStatus }

// Run refuses, for the same reason.
func (c *statusConn) Run(time.Time, model.Query) (model.Reply, error) {
	return model.Reply{}, errOnlyStatus
}

// Execute refuses, for the same reason.
func (c *statusConn) Execute(time.Time, model.Prepared, model.Query, string) (model.Reply, error) {
	return model.Reply{}, errOnlyStatus
}

// Status returns the state of the instance, and asks it if no answer that is recent enough is known or under way.
func (c *statusConn) Status(deadline time.Time) (model.InstanceState, error) {
	return askShared(clock.Now(), c.source.config.Statuses, c.source.config.Pool, deadline, c.request)
}

// Owner returns an empty name: this VM owns the connections.
func (c *statusConn) Owner() string { return "" }

// Broken reports false: the connections that requests use are back in the pool already.
func (c *statusConn) Broken() bool { return false }

// Break does nothing, since there is no connection to break.
func (c *statusConn) Break() {}
