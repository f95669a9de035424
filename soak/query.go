package soak

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/model"
)

// answer is the complete answer to a statement.
type answer struct {
	rows []string
	// fault is the code after ERR; it is empty after a success.
	fault string
	// proof is the message authentication code of the instance, or "-" for none.
	proof string
}

var errNoAnswer = errors.New("no answer")

func (c *caller) nextID() model.RequestID {
	return model.RequestID(fmt.Sprintf("%s.%d.%d", c.name, c.operations, c.site.lastID.Add(1)))
}

func (c *caller) query(text string) (answer, error) { return c.queryWithID(c.nextID(), text) }

// queryWithID records and sends a statement and reads its answer.
func (c *caller) queryWithID(id model.RequestID, text string) (answer, error) {
	c.site.history.recordSent(id, sentStatement{
		team: c.team, vm: c.vm.settings.VM, operation: fmt.Sprintf("%s.%d", c.name, c.operations), text: text, values: c.values, work: c.drawWork(),
	})
	if err := c.conn.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return answer{}, err
	}
	if _, err := io.WriteString(c.conn, "QUERY "+string(id)+" "+text+"\r\n"); err != nil {
		return answer{}, err
	}
	c.site.history.recordPassage(id, func(p *passage) { p.sentAt = time.Now() })
	var a answer
	for ended := false; ; {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			c.recordUnanswered(id)
			return a, errors.CombineErrors(errNoAnswer, err)
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch {
		case word == "ROW" && !ended:
			a.rows = append(a.rows, rest)
		case word == "DONE" && !ended:
			a.proof, ended = rest, true
		case word == "ERR" && !ended:
			a.fault, _, _ = strings.Cut(rest, " ")
			ended = true
		case word == "READY" && ended:
			return a, nil
		default:
			c.site.history.addViolation("mixed: %s got %q in an answer to %s", c.name, line, id)
			return a, errSessionEnded
		}
	}
}

// recordUnanswered records that the connection ended before the answer to a statement, in a run where no fault excuses it.
func (c *caller) recordUnanswered(id model.RequestID) {
	if c.site.config.PlannedOnly {
		c.site.history.recordUnanswered(unanswered{
			id: id, vm: c.vm.settings.VM, endedAt: time.Now(), stoppedAt: c.vm.lastStop(), grace: c.site.config.grace(),
		})
	}
}
