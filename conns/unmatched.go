package conns

import (
	"github.com/charmbracelet/log"

	"github.com/crocusshore/crocusshore/model"
)

// unmatched describes an answer that was not taken for the one to a query.
type unmatched struct {
	conn    *Conn
	query   model.Query
	reply   model.Reply
	verdict verdict
	// had is the number of different answers that the connection had had.
	had int
}

func (c *Conn) report(q model.Query, reply model.Reply, v verdict) {
	if c.onUnmatched != nil {
		c.onUnmatched(unmatched{conn: c, query: q, reply: reply, verdict: v, had: len(c.answers.had)})
	}
}

// recordUnmatched logs and counts an answer that was not accepted.
func (p *Pool) recordUnmatched(u unmatched) {
	p.config.Metrics.Tagged(map[string]string{"verdict": string(u.verdict)}).Counter("unmatched_answers").Inc(1)
	level := log.WarnLevel
	if u.verdict == verdictAmbiguous && mustBeNew(u.query.Kind) {
		level = log.DebugLevel // An instance whose log stands still answers in this way.
	}
	p.config.Log.Log(level, "answer not accepted", "verdict", u.verdict, "instance", u.conn.Instance.Name, "team", u.conn.Team,
		"id", u.query.ID, "kind", u.query.Kind, "rows", len(u.reply.Rows), "fault", u.reply.Fault, "state", u.reply.State, "mark", u.reply.Mark,
		"earlier-answers", u.had)
}
