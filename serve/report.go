package serve

import (
	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
)

// report writes the line of a decision on a request and counts it.
func (c *caller) report(op operation, command model.Command, instance model.InstanceName, reply model.Reply, attempts int) {
	latency := clock.Now().Sub(op.startedAt)
	outcome := string(reply.Fault)
	if outcome == "" {
		outcome = "Done"
	}
	c.server.config.Metrics.Tagged(map[string]string{"outcome": outcome}).Counter("statements").Inc(1)
	c.server.config.Metrics.Timer("latency").Record(latency)
	c.server.config.Log.Info("statement", "id", command.ID, "kind", command.Kind, "route", op.route.Name, "team", op.team,
		"policy", op.version, "instance", instance, "mark", reply.Mark, "attempts", attempts, "ms", latency.Milliseconds(),
		"outcome", outcome, "detail", reply.Detail)
}
