package serve

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
)

// latencyBuckets are the bounds of the latency histogram; the objectives of routes lie between 100 ms and a second.
var latencyBuckets = tally.DurationBuckets{
	2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	150 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
}

// report logs the outcome of a statement and counts it in the metrics.
func (c *callerSession) report(op operation, command model.Command, instance model.InstanceName, reply model.Reply, attempts int) {
	latency := clock.Now().Sub(op.startedAt)
	outcome := string(reply.Fault)
	if outcome == "" {
		outcome = "Done"
	}
	c.server.config.Metrics.Tagged(map[string]string{"outcome": outcome}).Counter("statements").Inc(1)
	c.server.config.Metrics.Histogram("statement_latency", latencyBuckets).RecordDuration(latency)
	owner := ""
	if instance != "" && c.lastConn != nil {
		owner = c.lastConn.Owner()
	}
	line := []any{
		"id", command.ID, "kind", command.Kind, "route", op.route.Name, "team", op.team,
		"policy", op.policyVersion, "admitted-by", op.decidedBy, "instance", instance, "owner", owner, "mark", reply.Mark, "attempts", attempts, "ms", latency.Milliseconds(),
		"outcome", outcome, "detail", reply.Detail,
	}
	if c.lastErr != nil {
		line = append(line, "error", c.lastErr)
	}
	c.server.config.Log.Info("statement", line...)
	c.reported, c.lastErr = true, nil
}

// reportRefused logs why a message of the caller was refused as invalid, unless the line of its statement does. The text of a message that could not
// be read is left out.
func (c *callerSession) reportRefused(command model.Command, reply model.Reply) {
	if reply.Fault != model.FaultBadMessage || c.reported {
		return
	}
	line := []any{"id", command.ID, "kind", command.Kind, "database", c.hello.Database, "state", c.session.State, "detail", reply.Detail}
	if c.lastErr != nil {
		line = append(line, "error", errors.Redact(c.lastErr))
	}
	c.server.logRefused("message refused", line...)
	c.lastErr = nil
}

// logRefused logs that a message or a connection of a client was refused, unless there are too many such lines.
func (s *Server) logRefused(message string, line ...any) {
	if s.refusedLines.Allow(clock.Now(), s.config.Counts) {
		s.config.Log.Info(message, line...)
	}
}
