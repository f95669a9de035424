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
	// ready is what follows READY: the state of the session and the position.
	ready string
}

var errNoAnswer = errors.New("no answer")

func (c *caller) nextID() model.RequestID {
	return model.RequestID(fmt.Sprintf("%s.%d.%d", c.name, c.operations, c.site.lastID.Add(1)))
}

func (c *caller) query(text string) (answer, error) { return c.queryWithID(c.nextID(), text) }

// queryWithID records and sends a statement, and reads and checks its answer.
func (c *caller) queryWithID(id model.RequestID, text string) (answer, error) {
	if err := c.conn.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return answer{}, err
	}
	if err := c.checkNothingArrived(); err != nil {
		return answer{}, err
	}
	sent := sentStatement{
		team: c.team, vm: c.vm.settings.VM, operation: fmt.Sprintf("%s.%d", c.name, c.operations), text: text, values: c.values, work: c.drawWork(),
	}
	if words := strings.SplitN(text, " ", 3); words[0] == "EXEC" {
		sent.prepared = c.prepared[words[1]]
	}
	c.site.history.recordSent(id, sent)
	if _, err := io.WriteString(c.conn, "QUERY "+string(id)+" "+text+lineEnd); err != nil {
		return answer{}, err
	}
	c.site.history.recordPassage(id, func(p *passage) { p.sentAt = time.Now() })
	a, err := c.readAnswer(id)
	if err != nil {
		return a, err
	}
	return a, c.checkAnswer(id, sent, a)
}

// readAnswer reads all messages of the answer to a statement.
func (c *caller) readAnswer(id model.RequestID) (answer, error) {
	var a answer
	for ended := false; ; {
		message, err := c.in.next()
		if err != nil {
			c.recordUnanswered(id)
			return a, errors.CombineErrors(errNoAnswer, err)
		}
		word, rest := splitMessage(message)
		switch {
		case word == "ROW" && !ended:
			a.rows = append(a.rows, rest)
		case word == "DONE" && !ended:
			a.proof, ended = rest, true
		case word == "ERR" && !ended:
			a.fault, _, _ = strings.Cut(rest, " ")
			ended = true
		case word == "READY" && ended:
			a.ready = rest
			return a, nil
		default:
			c.site.history.addViolation("mixed: %s got %q in an answer to %s", c.name, message, id)
			return a, errSessionEnded
		}
	}
}

// checkNothingArrived checks that nothing came since the last answer, without waiting. The page allows an ERR, and the end of the connection outside
// a transaction; both end the session.
func (c *caller) checkNothingArrived() error {
	if !c.in.arrived() {
		return nil
	}
	message, err := c.in.next()
	if err != nil {
		return errors.CombineErrors(errNoAnswer, err)
	}
	if word, _ := splitMessage(message); word != "ERR" {
		c.site.history.addViolation("mixed: %s got %q with nothing asked", c.name, message)
	}
	return errSessionEnded
}

// recordUnanswered records that the connection ended before the answer to a statement, in a run where no fault excuses it.
func (c *caller) recordUnanswered(id model.RequestID) {
	if c.site.config.PlannedOnly {
		c.site.history.recordUnanswered(unanswered{
			id: id, vm: c.vm.settings.VM, endedAt: time.Now(), stoppedAt: c.vm.lastStop(), grace: c.site.config.grace(),
		})
	}
}
