package node

import (
	"time"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/peers"
)

const (
	// mostHeldBack bounds how long an answer to a peer is held back.
	mostHeldBack = 2 * time.Second
	// oldestSample is the age from which on a position serves no route.
	oldestSample = 3 * time.Second
	// freshAnswer is how old the last answer of a primary may be to spare it a question.
	freshAnswer = 150 * time.Millisecond
)

// Copies returns what this VM knows of the store's tables and of the positions of primaries.
func (n *Node) Copies(request peers.CopiesRequest) peers.CopiesReply {
	for _, c := range request.Conditions {
		n.track.Hear(clock.Now(), c)
	}
	waited := n.follower.Await(request.Versions, min(request.Wait, mostHeldBack))
	now := clock.Now()
	reply := peers.CopiesReply{
		Copies: n.follower.Copies(now, request.Versions), Waited: waited, Conditions: n.track.Knows(now), Witnessed: n.world.Witnessed(now, leaseBound),
	}
	for _, group := range n.world.State().Groups() {
		if last, known := n.samples.Last(group); known && now.Sub(last.At) < oldestSample {
			reply.Samples = append(reply.Samples, peers.Sample{Group: group, Mark: last.Mark, Age: now.Sub(last.At)})
		}
	}
	return reply
}

// Release stops the use of a primary and waits for the answers that are under way.
func (n *Node) Release(request peers.ReleaseRequest) elect.Release {
	n.world.Revoke(request.Group, request.Version)
	settled := n.server.Settle(request.Group, request.Settle)
	n.server.Confirm(request.Group, request.Version)
	known := n.server.Commits(clock.Now(), request.Group).Acked
	if last, ok := n.samples.Last(request.Group); ok && known.Before(last.Mark) {
		known = last.Mark
	}
	n.config.Log.Info("primary released", "group", request.Group, "row", request.Version, "settled", settled, "known", known)
	return elect.Release{VM: n.config.Settings.VM, Known: known}
}

// Opinion asks the primary of a group, unless it answered just now.
func (n *Node) Opinion(request peers.OpinionRequest) elect.Opinion {
	opinion := elect.Opinion{VM: n.config.Settings.VM, CommitAge: -1}
	primary, _, known := n.world.State().Primary(request.Group)
	if known {
		health := n.track.Health(primary.Name)
		opinion.Reached = health.Failures == 0 && clock.Now().Sub(health.AnsweredAt) < freshAnswer
	}
	opinion.Reached = opinion.Reached || n.server.Reach(request.Group)
	now := clock.Now()
	commits := n.server.Commits(now, request.Group)
	if !commits.AckedAt.IsZero() {
		opinion.CommitAge = now.Sub(commits.AckedAt)
	}
	if !commits.StuckSince.IsZero() {
		opinion.StuckFor = now.Sub(commits.StuckSince)
	}
	return opinion
}
