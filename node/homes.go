package node

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/remote"
	"github.com/crocusshore/crocusshore/world"
)

// connectionOwners returns the VMs of the own failure domain that hold its connections to an instance, and those that stand in for them.
func (n *Node) connectionOwners(now time.Time, instance model.InstanceName) []world.VM {
	ranked := n.rankings.Of(now, n.config.Settings.Domain, conns.OwnerRankKey(instance))
	return ranked[:min(len(ranked), conns.MaxOwners)]
}

// teamConnectionOwners returns where the connections of a team to an instance are held, best first; it is empty while no VM is known.
func (n *Node) teamConnectionOwners(name model.InstanceName, team model.TeamName) []remote.Owner {
	homes := n.connectionOwners(clock.Now(), name)
	found := make([]remote.Owner, 0, len(homes))
	for _, at := range conns.OwnerOrder(len(homes), team) {
		found = append(found, remote.Owner{Self: homes[at].Name == n.config.Settings.VM, Address: homes[at].Gossip})
	}
	return found
}

// listenRemote lets other VMs of the failure domain use the connections of this one.
func (n *Node) listenRemote() error {
	listener, err := net.Listen("tcp", n.gossipAddress().String())
	if err != nil {
		return errors.WithHint(err, "is another process using the first port of the range?")
	}
	go n.acceptEach(listener, n.remoteServer.Serve)
	return nil
}

// acceptEach serves each connection in a goroutine of its own until the listener is closed.
func (n *Node) acceptEach(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			n.config.Log.Warn("connection not accepted", "address", listener.Addr(), "error", err)
			time.Sleep(drainPollInterval)
			continue
		}
		go serve(conn)
	}
}
