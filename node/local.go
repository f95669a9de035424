package node

import (
	"time"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/peers"
	"github.com/crocusshore/crocusshore/watch"
)

const (
	// maxPollWait bounds how long an answer to a peer is held back while no table is newer.
	maxPollWait = 2 * time.Second
	// maxSampleAge bounds the age of a position sample; one of this age or more is too old for any route.
	maxSampleAge = 3 * time.Second
	// freshAnswerAge is how long after an answer of a primary no other request to it is necessary.
	freshAnswerAge = 150 * time.Millisecond
)

// Tables returns what this VM has of the store's tables, the log positions of groups, the term checks, the conditions of instances and whether it
// finds the failure domain lost. While no table is newer and that has not changed, it waits for as long as the request and maxPollWait allow.
func (n *Node) Tables(request peers.TablesRequest) peers.TablesReply {
	for _, c := range request.Conditions {
		n.tracker.RecordReported(clock.Now(), c)
	}
	waited := n.watcher.AwaitChangeOr(request.Versions, min(request.Wait, maxPollWait), n.contact.own.changedFrom(request.KnowsLost))
	now := clock.Now()
	reply := peers.TablesReply{
		Copies: n.watcher.UpdatesFor(now, request.UpdateRequest()), Waited: waited, Conditions: n.tracker.Conditions(now), Witnessed: n.cache.TermChecks(now, leaseTTL),
		Lost: n.contact.own.get(),
	}
	for _, group := range n.cache.Snapshot().Groups() {
		if last, known := n.samples.Last(group); known && now.Sub(last.At) < maxSampleAge {
			reply.Samples = append(reply.Samples, peers.Sample{Group: group, Mark: last.Mark, Age: now.Sub(last.At)})
		}
	}
	return reply
}

// Row returns an encoding of a row that Tables named.
func (n *Node) Row(reference watch.RowReference) ([]byte, bool) {
	return n.watcher.EncodedRow(clock.Now(), reference)
}

// Release ends the use of a primary, after a wait for the answers to statements in flight.
func (n *Node) Release(request peers.ReleaseRequest) elect.Release {
	n.cache.Revoke(request.Group, request.Version)
	settled := n.server.AwaitInFlight(request.Group, request.Settle)
	n.server.ConfirmRelease(request.Group, request.Version)
	release := elect.Release{VM: n.config.Settings.VM}
	release.Known, release.Complete = n.server.KnownCommits(request.Group, n.startedAt)
	n.config.Log.Info("primary released", "group", request.Group, "row-version", request.Version, "settled", settled, "acked-mark", release.Known,
		"complete", release.Complete)
	return release
}

// Opinion returns whether this VM reaches the primary of a group and whether its commits are answered. It sends a request to the primary
// unless the primary answered within the last freshAnswerAge and has not failed since, and is not registered as a replica, which answers, too.
func (n *Node) Opinion(request peers.OpinionRequest) elect.Opinion {
	opinion := elect.Opinion{VM: n.config.Settings.VM, CommitAge: -1}
	primary, _, known := n.cache.Snapshot().Primary(request.Group)
	if known && primary.Role != model.RoleReplica {
		now := clock.Now()
		health := n.tracker.Health(now, primary.Name)
		opinion.Reached = health.Failures == 0 && now.Sub(health.AnsweredAt) < freshAnswerAge
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
