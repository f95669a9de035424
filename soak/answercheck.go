package soak

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
)

// sessionState is the state of a session as READY tells it.
type sessionState string

const (
	stateIdle          sessionState = "I"
	stateInTransaction sessionState = "T"
	stateFailed        sessionState = "E"

	// noProof stands in DONE where no instance has signed, and in READY where there is no position.
	noProof = "-"
)

// provenVerbs holds the first words of the statements whose success carries the proof of an instance.
var provenVerbs = map[string]bool{"READ": true, "WRITE": true, "EXEC": true, "COMMIT": true}

// checkAnswer checks that an answer can be that of its statement, and takes the state of the session from it. An error ends the session.
func (c *caller) checkAnswer(id model.RequestID, sent sentStatement, a answer) error {
	problem := answerProblem(c.state, id, sent.text, a)
	if a.fault == "BADMSG" && c.state != stateFailed {
		c.site.history.countRejected()
	}
	c.state, _ = parseReady(a.ready)
	if problem != "" {
		c.site.history.addViolation("mixed: %s sent %s %q and got %s", c.name, id, sent.text, problem)
		return errSessionEnded
	}
	if a.fault == "NOSTMT" && sent.prepared != "" {
		c.site.history.addViolation("pinned: %s %q of %s is unknown, though preparing it was acknowledged", id, sent.text, c.name)
		return errSessionEnded
	}
	return nil
}

// answerProblem returns why an answer cannot be that of a statement which was sent in a state of the session, or nothing if it can.
func answerProblem(before sessionState, id model.RequestID, text string, a answer) string {
	verb, _, _ := strings.Cut(text, " ")
	after, valid := parseReady(a.ready)
	if !valid {
		return fmt.Sprintf("the state %q", a.ready)
	}
	if !slices.Contains(statesAfter(before, verb, a.fault != ""), after) {
		return fmt.Sprintf("the state %s after %s (ERR %q)", after, before, a.fault)
	}
	if a.fault != "" {
		if len(a.rows) > 0 {
			return fmt.Sprintf("%d rows before ERR", len(a.rows))
		}
		return ""
	}
	return successProblem(verb, id, a)
}

// successProblem returns why a success cannot be that of a statement, or nothing if it can.
func successProblem(verb string, id model.RequestID, a answer) string {
	if !provenVerbs[verb] && len(a.rows) > 0 {
		return fmt.Sprintf("the rows %q", a.rows)
	}
	if !provenVerbs[verb] && a.proof == noProof || stand.CheckProof(a.proof, id, a.rows) {
		return ""
	}
	return fmt.Sprintf("the proof %q for the rows %q", a.proof, a.rows)
}

// statesAfter returns the states of the session that can follow a statement. After a fault in a transaction, the transaction may go on if the
// statement was not accepted; only the statements that end a transaction leave it.
func statesAfter(before sessionState, verb string, fault bool) []sessionState {
	ends := verb == "COMMIT" || verb == "ROLLBACK"
	switch {
	case before == stateIdle && verb == "BEGIN" && !fault:
		return []sessionState{stateInTransaction}
	case before == stateIdle:
		return []sessionState{stateIdle}
	case ends && !fault:
		return []sessionState{stateIdle}
	case ends:
		return []sessionState{stateIdle, stateFailed}
	case !fault && before == stateInTransaction:
		return []sessionState{stateInTransaction}
	case fault && before == stateInTransaction:
		return []sessionState{stateInTransaction, stateFailed}
	case fault:
		return []sessionState{stateFailed}
	default:
		return nil
	}
}

// parseReady returns the state in the fields of a READY message, and false if they are not a state and a position.
func parseReady(fields string) (sessionState, bool) {
	state, position, _ := strings.Cut(fields, " ")
	if !slices.Contains([]sessionState{stateIdle, stateInTransaction, stateFailed}, sessionState(state)) {
		return "", false
	}
	if position == noProof {
		return sessionState(state), true
	}
	term, number, _ := strings.Cut(position, ".")
	_, termError := strconv.ParseUint(term, 10, 63)
	_, numberError := strconv.ParseUint(number, 10, 63)
	return sessionState(state), termError == nil && numberError == nil
}
