package conns

import (
	"encoding/binary"
	"hash/maphash"
	"strconv"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// maxAnswers bounds the different answers of a connection that are remembered; a connection that has had them is replaced.
	maxAnswers = 1000

	// verdictAccepted means that an answer is that of its statement.
	verdictAccepted verdict = "Accepted"
	// verdictRepeated means that an answer is an earlier one of the connection once more, and cannot be that of the statement, which is still to come.
	verdictRepeated verdict = "Repeated"
	// verdictAmbiguous means that an answer may be that of the statement or an earlier one once more.
	verdictAmbiguous verdict = "Ambiguous"
	// verdictProof means that a success has no proof although its statement requires one, or the proof of another answer.
	verdictProof verdict = "Proof"
	// verdictRows means that a success has rows that its statement does not give, or lacks those that it gives.
	verdictRows verdict = "Rows"
	// verdictState means that the state of the transaction does not follow from the statement.
	verdictState verdict = "State"
	// verdictUnasked means that an answer came while none was due.
	verdictUnasked verdict = "Unasked"
)

type (
	// verdict tells whether an answer belongs to its statement. Instances number neither statements nor answers, and may answer twice.
	verdict string

	// answers remembers what an instance has answered on a connection. Only an answer that is none of these is certainly no repetition.
	answers struct {
		seed maphash.Seed
		// had holds the hash of each whole answer by its key.
		had map[uint64]uint64
		// uncertain is set after an accepted answer that may have been an earlier one once more: the statement's own may still come, and may be a fault.
		uncertain bool
	}

	// hashedReply is a reply with the hash of all of it and its key, which is the hash of its proof or, without one, that of all of it.
	hashedReply struct {
		model.Reply
		key, whole uint64
	}
)

func newAnswers() *answers {
	return &answers{seed: maphash.MakeSeed(), had: map[uint64]uint64{}}
}

// judge tells whether a reply is the answer to a query that was sent in a transaction state. A connection ends with its first fault, so that a fault
// cannot be an earlier one.
func (a *answers) judge(q model.Query, state model.TxState, reply hashedReply) verdict {
	possible := a.possible(q, state, reply)
	switch {
	case reply.Fault != "" && a.uncertain && q.Commits:
		return verdictAmbiguous
	case reply.Fault != "":
		return verdictAccepted
	case possible != verdictAccepted && a.hadWhole(reply):
		return verdictRepeated
	case mustBeNew(q.Kind) && a.hadWhole(reply):
		return verdictAmbiguous
	default:
		return possible
	}
}

// possible tells whether a success can be that of a query, and if not, why.
func (a *answers) possible(q model.Query, state model.TxState, reply hashedReply) verdict {
	switch {
	case (reply.Proof != "" && a.hadKey(reply)) || (q.Kind.GivesProof() && reply.Proof == ""):
		return verdictProof
	case !mayHaveRows(q.Kind, len(reply.Rows)):
		return verdictRows
	case reply.State != q.Kind.StateAfter(state):
		return verdictState
	default:
		return verdictAccepted
	}
}

// mustBeNew reports whether a success of a kind of statement counts only if the connection has not had the same answer. Where it does not, a repetition
// shows at the next statement that needs a proof.
func mustBeNew(kind model.CommandKind) bool {
	return kind == model.CommandBegin || kind == model.CommandStatus
}

// mayHaveRows reports whether a success of a kind of statement may have a number of rows.
func mayHaveRows(kind model.CommandKind, count int) bool {
	switch {
	case kind == model.CommandStatus:
		return count == 1
	case kind.GivesProof():
		return true
	default:
		return count == 0
	}
}

// add remembers a reply that was accepted as the answer to a query.
func (a *answers) add(q model.Query, reply hashedReply) {
	switch {
	case reply.Proof != "", mustBeNew(q.Kind):
		a.uncertain = false
	case a.hadWhole(reply):
		a.uncertain = true
	}
	a.had[reply.key] = reply.whole
}

// hadWhole reports whether the connection has had the same reply.
func (a *answers) hadWhole(reply hashedReply) bool {
	whole, had := a.had[reply.key]
	return had && whole == reply.whole
}

// hadKey reports whether the connection has had a reply with the same key.
func (a *answers) hadKey(reply hashedReply) bool {
	_, had := a.had[reply.key]
	return had
}

// full reports whether no more replies can be remembered.
func (a *answers) full() bool { return len(a.had) >= maxAnswers }

// hash returns a reply with the hashes of the parts that the instance sent.
func (a *answers) hash(reply model.Reply) hashedReply {
	var h maphash.Hash
	h.SetSeed(a.seed)
	write := func(part string) {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:]) // It never fails.
		_, _ = h.WriteString(part)
	}
	write(strconv.Itoa(len(reply.Rows)))
	for _, row := range reply.Rows {
		write(row)
	}
	for _, part := range []string{reply.Proof, string(reply.Fault), reply.Detail, string(reply.State), reply.Mark.String()} {
		write(part)
	}
	whole := h.Sum64()
	if reply.Proof == "" {
		return hashedReply{Reply: reply, key: whole, whole: whole}
	}
	return hashedReply{Reply: reply, key: maphash.String(a.seed, reply.Proof), whole: whole}
}
