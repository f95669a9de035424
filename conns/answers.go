package conns

import (
	"encoding/binary"
	"hash/maphash"
	"strconv"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// maxAnswers bounds the different answers of a connection that are remembered; a connection that has had them is replaced.
	maxAnswers = 2000

	// verdictAccepted means that an answer belongs to its statement.
	verdictAccepted verdict = "Accepted"
	// verdictRepeated means that an answer is an earlier one of the connection once more, so that the statement's own is still to come.
	verdictRepeated verdict = "Repeated"
	// verdictUsedProof means that an answer has the proof of an earlier one but is another answer.
	verdictUsedProof verdict = "UsedProof"
	// verdictNoProof means that a success lacks the proof that its statement requires, and verdictProof that it has one that no instance gives.
	verdictNoProof verdict = "NoProof"
	verdictProof   verdict = "Proof"
	// verdictState means that the state of the transaction does not follow from the statement.
	verdictState verdict = "State"
	// verdictAmbiguous means that an answer without a proof may be an earlier one once more.
	verdictAmbiguous verdict = "Ambiguous"
	// verdictUnasked means that an answer came while none was due.
	verdictUnasked verdict = "Unasked"
)

type (
	// verdict tells whether an answer belongs to its statement. Instances number neither statements nor answers, and may answer twice.
	verdict string

	// answers remembers what an instance has answered on a connection. Only an answer that is none of these is certainly no repetition.
	answers struct {
		seed   maphash.Seed
		whole  map[uint64]struct{}
		proofs map[uint64]struct{}
	}
)

func newAnswers() *answers {
	return &answers{seed: maphash.MakeSeed(), whole: map[uint64]struct{}{}, proofs: map[uint64]struct{}{}}
}

// judge tells whether a reply is the answer to a query that was sent in a transaction state. A fault is taken for the answer: a connection ends
// with its first fault, so that it cannot be a repetition.
func (a *answers) judge(q model.Query, state model.TxState, reply model.Reply) verdict {
	switch {
	case reply.Fault != "":
		return verdictAccepted
	case a.hadProof(reply) && a.had(reply):
		return verdictRepeated
	case a.hadProof(reply):
		return verdictUsedProof
	case q.Kind == "":
		return verdictAccepted
	case q.Kind.GivesProof() && reply.Proof == "":
		return verdictNoProof
	case !q.Kind.GivesProof() && (reply.Proof != "" || len(reply.Rows) > 0):
		return verdictProof
	case reply.State != q.Kind.StateAfter(state):
		return verdictState
	case q.Kind == model.CommandBegin && a.had(reply):
		return verdictAmbiguous
	default:
		return verdictAccepted
	}
}

// add remembers a reply that was accepted.
func (a *answers) add(reply model.Reply) {
	a.whole[a.hash(reply)] = struct{}{}
	if reply.Proof != "" {
		a.proofs[maphash.String(a.seed, reply.Proof)] = struct{}{}
	}
}

// addState remembers a state that an instance told, and reports whether the connection had had the same one.
func (a *answers) addState(state model.InstanceState) (had bool) {
	hash := maphash.Comparable(a.seed, state)
	_, had = a.whole[hash]
	a.whole[hash] = struct{}{}
	return had
}

// had reports whether the connection has had the same reply.
func (a *answers) had(reply model.Reply) bool {
	_, had := a.whole[a.hash(reply)]
	return had
}

func (a *answers) hadProof(reply model.Reply) bool {
	if reply.Proof == "" {
		return false
	}
	_, had := a.proofs[maphash.String(a.seed, reply.Proof)]
	return had
}

// full reports whether no more replies can be remembered.
func (a *answers) full() bool { return len(a.whole) >= maxAnswers }

// hash returns the hash of all parts of a reply that the instance sent.
func (a *answers) hash(reply model.Reply) uint64 {
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
	return h.Sum64()
}
