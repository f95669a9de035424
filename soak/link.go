package soak

import (
	"maps"
	"strings"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// checkedLink is an instance's end of a connection that checks what arrives on it.
type checkedLink struct {
	model.InstanceConn
	ledger *ledger
	team   model.TeamName
	values map[string]string
	// operation is the caller's operation whose transaction is open.
	operation string
}

// Exchange checks the statements and runs them.
func (l *checkedLink) Exchange(deadline time.Time, queries ...model.Query) ([]model.Reply, error) {
	for _, q := range queries {
		l.check(q)
	}
	replies, err := l.InstanceConn.Exchange(deadline, queries...)
	if err == nil && len(replies) > 0 && replies[len(replies)-1].State == model.TxNone {
		l.operation = ""
	}
	return replies, err
}

func (l *checkedLink) check(q model.Query) {
	words := strings.SplitN(q.Text, " ", 3)
	switch {
	case words[0] == "SET" && len(words) == 3:
		l.values[words[1]] = words[2]
		return
	case words[0] == "RESET":
		clear(l.values)
		return
	case q.ID == "":
		return
	}
	a, known := l.ledger.arrive(l.team, q, maps.Clone(l.values))
	if !known {
		return
	}
	if l.operation == "" && words[0] != "ROLLBACK" {
		l.ledger.operation(l.team)
	}
	if l.operation != "" && l.operation != a.operation {
		l.ledger.breach("pinned: %s of %s ran inside the transaction of %s", q.ID, a.operation, l.operation)
	}
	if words[0] == "BEGIN" {
		l.operation = a.operation
	}
}
