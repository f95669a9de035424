package node

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/memory"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/remote"
	"github.com/crocusshore/crocusshore/state"
)

// connectionOwners returns the VMs that own the connections of this failure domain to an instance, followed by the backup owners.
func (n *Node) connectionOwners(now time.Time, instance model.InstanceName) []state.VM {
	ranked := n.rankings.Of(now, n.config.Settings.Domain, conns.OwnerRankKey(instance))
	return ranked[:min(len(ranked), conns.MaxOwners)]
}

// teamConnectionOwners returns the VMs to ask for a connection of a team to an instance, best first. It is empty while no VM is registered.
func (n *Node) teamConnectionOwners(name model.InstanceName, team model.TeamName) []remote.Owner {
	owners := n.connectionOwners(clock.Now(), name)
	found := make([]remote.Owner, 0, len(owners))
	for _, at := range conns.OwnerOrder(len(owners), team) {
		found = append(found, remote.Owner{Self: owners[at].Name == n.config.Settings.VM, Address: owners[at].Gossip})
	}
	return found
}

// listenRemote starts to serve statements of other VMs of the failure domain on the connections of this one.
func (n *Node) listenRemote() error {
	listener, err := net.Listen("tcp", n.firstPortAddress().String())
	if err != nil {
		return errors.WithHint(err, "is another process using the first port of the range?")
	}
	in := newEntrance(entranceConfig{listener: listener, gate: n.gates.streams, counts: n.counts, log: n.config.Log})
	go in.acceptEach(func(conn net.Conn, visit *memory.Visit) func() {
		return func() { n.remoteServer.ServeVisit(conn, visit) }
	})
	return nil
}
