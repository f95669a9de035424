package soak

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/model"
)

// answer is the whole answer to a statement.
type answer struct {
	rows  []string
	fault string
	proof string
}

var errNoAnswer = errors.New("no answer")

func (c *caller) nextID() model.RequestID {
	return model.RequestID(fmt.Sprintf("%s.%d.%d", c.name, c.operations, c.site.ids.Add(1)))
}

func (c *caller) ask(text string) (answer, error) { return c.askAs(c.nextID(), text) }

// askAs sends a statement and reads its answer.
func (c *caller) askAs(id model.RequestID, text string) (answer, error) {
	c.site.ledger.ask(id, asked{team: c.team, operation: fmt.Sprintf("%s.%d", c.name, c.operations), text: text, values: c.values})
	if err := c.conn.SetDeadline(time.Now().Add(answerTime)); err != nil {
		return answer{}, err
	}
	if _, err := io.WriteString(c.conn, "QUERY "+string(id)+" "+text+"\r\n"); err != nil {
		return answer{}, err
	}
	var a answer
	for ended := false; ; {
		line, err := c.in.ReadString('\n')
		if err != nil {
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
			c.site.ledger.breach("mixed: %s got %q in an answer to %s", c.name, line, id)
			return a, errBroken
		}
	}
}
