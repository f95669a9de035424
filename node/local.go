package node

import (
	"time"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/peers"
)

const (
	// maxPollWait bounds how long an answer to a peer is held back.
	maxPollWait = 2 * time.Second
	// maxSampleAge is the age from which on a position serves no route.
	maxSampleAge = 3 * time.Second
	// freshAnswerAge is how old the last answer of a primary may be to spare it a question.
	freshAnswerAge = 150 * time.Millisecond
)

// Tables returns what this VM knows of the store's tables and of the positions of primaries.
func (n *Node) Tables(request peers.TablesRequest) peers.TablesReply {
	for _, c := range request.Conditions {
		n.tracker.RecordReported(clock.Now(), c)
	}
	waited := n.watcher.AwaitChange(request.Versions, min(request.Wait, maxPollWait))
	now := clock.Now()
	reply := peers.TablesReply{
		Copies: n.watcher.Updates(now, request.Versions), Waited: waited, Conditions: n.tracker.Conditions(now), Witnessed: n.world.TermChecks(now, leaseTTL),
	}
	for _, group := range n.world.Snapshot().Groups() {
		if last, known := n.samples.Last(group); known && now.Sub(last.At) < maxSampleAge {
			reply.Samples = append(reply.Samples, peers.Sample{Group: group, Mark: last.Mark, Age: now.Sub(last.At)})
		}
	}
	return reply
}

// Release stops the use of a primary and waits for the answers that are under way.
func (n *Node) Release(request peers.ReleaseRequest) elect.Release {
	n.world.Revoke(request.Group, request.Version)
	settled := n.server.AwaitInFlight(request.Group, request.Settle)
	n.server.ConfirmRelease(request.Group, request.Version)
	known := n.server.CommitStatus(clock.Now(), request.Group).Acked
	if last, ok := n.samples.Last(request.Group); ok && known.Before(last.Mark) {
		known = last.Mark
	}
	n.config.Log.Info("primary released", "group", request.Group, "row", request.Version, "settled", settled, "known", known)
	return elect.Release{VM: n.config.Settings.VM, Known: known}
}

// Opinion asks the primary of a group, unless it answered just now.
func (n *Node) Opinion(request peers.OpinionRequest) elect.Opinion {
	opinion := elect.Opinion{VM: n.config.Settings.VM, CommitAge: -1}
	primary, _, known := n.world.Snapshot().Primary(request.Group)
	if known {
		health := n.tracker.Health(primary.Name)
		opinion.Reached = health.Failures == 0 && clock.Now().Sub(health.AnsweredAt) < freshAnswerAge
	}
	opinion.Reached = opinion.Reached || n.server.PrimaryAnswers(request.Group)
	now := clock.Now()
	commits := n.server.CommitStatus(now, request.Group)
	if !commits.AckedAt.IsZero() {
		opinion.CommitAge = now.Sub(commits.AckedAt)
	}
	if !commits.StuckSince.IsZero() {
		opinion.StuckFor = now.Sub(commits.StuckSince)
	}
	return opinion
}
