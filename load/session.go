package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/crocusshore/crocusshore/check"
	"github.com/crocusshore/crocusshore/model"
)

// session is one caller that moves between entries and checks its answers. It sends one request at a time.
type session struct {
	runner       *Runner
	team         Team
	name         string
	token        string
	group        model.GroupName
	writes       *writeLog
	requestCount int
	entry        netip.AddrPort
}

// sendNext sends the next request, records its answer and checks it.
func (s *session) sendNext(ctx context.Context, random *rand.Rand, write bool) {
	s.roam(random)
	request := s.newRequest(write)
	sentAt := time.Now()
	answer := s.runner.client.Do(ctx, s.entry, s.team.Key, s.token, request)
	latency := time.Since(sentAt)
	s.runner.tally.Add(s.team.Name, write, answer, latency)
	s.runner.config.Observe(Sample{SentAt: sentAt, Latency: latency, Team: s.team.Name, Session: s.name, Entry: s.entry, Group: s.group, Write: write, Answer: answer})
	s.recordAnswer(request, answer, write)
}

// roam moves the session to a random entry: with the probability Config.Roam, and always if it has no entry that is still offered.
func (s *session) roam(random *rand.Rand) {
	entries := s.runner.config.Entries()
	if !s.entry.IsValid() || random.Float64() < s.runner.config.Roam || !contains(entries, s.entry) {
		s.entry = pick(random, entries, s.runner.config.Skew)
	}
}

// pick returns a random entry: with the probability skew from the first quarter, else from all.
func pick(random *rand.Rand, entries []netip.AddrPort, skew float64) netip.AddrPort {
	if skew > 0 && random.Float64() < skew {
		return entries[random.IntN(max(1, len(entries)/4))]
	}
	return entries[random.IntN(len(entries))]
}

func contains(entries []netip.AddrPort, entry netip.AddrPort) bool {
	for _, e := range entries {
		if e == entry {
			return true
		}
	}
	return false
}

func (s *session) newRequest(write bool) Request {
	s.requestCount++
	request := Request{Route: s.runner.config.Route(s.team.Name, s.group, write), Deadline: s.runner.config.Deadline}
	if write {
		line := fmt.Sprintf("%s-%d", s.name, s.requestCount)
		request.ID = model.RequestID(line)
		request.Statement = model.Statement{Write: true, Text: "append", Arguments: []string{s.writes.key, line}}
		return request
	}
	request.Statement = model.Statement{Text: "get", Arguments: []string{s.writes.key}}
	return request
}

// recordAnswer updates the session by an answer. It checks the rows of a read and records the outcome of a write.
func (s *session) recordAnswer(request Request, answer Answer, write bool) {
	if answer.Token != "" {
		s.token = answer.Token
	}
	if answer.LostWrites {
		s.writes.lostWrites = true
	}
	if !write {
		if answer.Refusal == nil {
			s.writes.audit(&s.runner.violations, answer.Rows, check.ReadYourWrites)
		}
		return
	}
	outcome := model.Done
	if answer.Refusal != nil {
		outcome = answer.Refusal.Outcome
	}
	s.writes.record(string(request.ID), outcome)
}
