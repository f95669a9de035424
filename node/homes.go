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

// homes returns the VMs of the own failure domain that hold its connections to an instance, and those that stand in for them.
func (n *Node) homes(now time.Time, instance model.InstanceName) []world.VM {
	ranked := n.ranks.Of(now, n.config.Settings.Domain, conns.Duty(instance))
	return ranked[:min(len(ranked), conns.MostHomes)]
}

// connectionHomes returns where the connections of a team to an instance are held, best first; it is empty while no VM is known.
func (n *Node) connectionHomes(name model.InstanceName, team model.TeamName) []remote.Home {
	homes := n.homes(clock.Now(), name)
	found := make([]remote.Home, 0, len(homes))
	for _, at := range conns.Prefer(len(homes), team) {
		found = append(found, remote.Home{Self: homes[at].Name == n.config.Settings.VM, Address: homes[at].Gossip})
	}
	return found
}

// lend lets other VMs of the failure domain use the connections of this one.
func (n *Node) lend() error {
	listener, err := net.Listen("tcp", n.gossipAddress().String())
	if err != nil {
		return errors.WithHint(err, "is another process using the first port of the range?")
	}
	go n.acceptEach(listener, n.lender.Serve)
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
			time.Sleep(leavePoll)
			continue
		}
		go serve(conn)
	}
}
