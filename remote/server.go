package remote

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/memory"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/status"
)

type (
	// LocalVM is the VM that runs the server, whose connections are used.
	LocalVM interface {
		// Instance returns an instance from the VM's cached state.
		Instance(name model.InstanceName) (model.Instance, bool)
		// TakeAttempt reports whether a statement may be attempted now on an instance, which may have failed recently.
		TakeAttempt(now time.Time, instance model.InstanceName) bool
		// MayRun reports whether an instance may take a statement of a caller now: if open is set one of a transaction that is open there, and
		// otherwise a new one. The failure domain of the instance may be evacuated.
		MayRun(now time.Time, instance model.Instance, open bool) bool
		// BeginPrimaryUse reports whether an instance may be used as the primary of a term now; if so, done ends the use.
		BeginPrimaryUse(now time.Time, instance model.Instance, term model.Term) (done func(), ok bool)
		// RecordAnswer records the answer of an instance to a request whose statement was sent at sentAt.
		RecordAnswer(sentAt time.Time, instance model.Instance, r Request, reply model.Reply)
		// RecordFailure records that an instance could not be reached or did not answer.
		RecordFailure(instance model.InstanceName, err error)
	}

	// ServerConfig holds the dependencies of a server.
	ServerConfig struct {
		Pool    *conns.Pool
		LocalVM LocalVM
		// Statuses shares the answers to status requests; nil shares none.
		Statuses *status.Board
		Log      *log.Logger
		// Budget is what requests and answers may take of the memory; nil has no limit. Counts counts what is refused.
		Budget *memory.Budget
		Counts *memory.Counts
	}

	// Server runs requests of other VMs on the connections of this one.
	Server struct {
		config  ServerConfig
		leaving atomic.Bool
		// busy counts the streams that run a request or keep a connection for an open transaction.
		busy atomic.Int64
	}
)

// NewServer returns a server.
func NewServer(config ServerConfig) *Server { return &Server{config: config} }

// StopAccepting stops taking new work, so that other VMs use the next owner; open transactions continue.
func (s *Server) StopAccepting() { s.leaving.Store(true) }

// ConnectionsInUse returns how many streams of other VMs run a request or have an open transaction.
func (s *Server) ConnectionsInUse() int { return int(s.busy.Load()) }

// Serve answers the requests of one stream until it ends; a transaction that is open then is rolled back.
func (s *Server) Serve(conn net.Conn) { s.ServeVisit(conn, nil) }

// ServeVisit is Serve for a connection that counts toward the limit of its listener.
func (s *Server) ServeVisit(conn net.Conn, visit *memory.Visit) {
	defer func() { _ = conn.Close() }()
	stream, err := newStream(conn)
	if err != nil {
		s.config.Log.Warn("stream of another VM rejected", "peer", conn.RemoteAddr(), "error", err)
		return
	}
	current := &session{Server: s, stream: stream, room: s.config.Budget.OpenPeer()}
	stream.room, stream.in.wait, current.answerRoom = current.grow, current.await, current.growAnswer
	defer current.end()
	for {
		r, err := current.next()
		if err != nil {
			if !errors.Is(err, io.EOF) {
				s.config.Log.Debug("stream of another VM ended", "peer", conn.RemoteAddr(), "error", err)
			}
			return
		}
		visit.MarkActive()
		answer := current.step(clock.Now(), r)
		answer.To = r.Sequence
		if answer.Failure != "" {
			s.config.Log.Info("request of another VM failed", "peer", conn.RemoteAddr(), "id", r.Query.ID, "instance", r.Instance,
				"team", r.Team, "term", r.Term, "failure", answer.Failure, "detail", answer.Detail)
		}
		if err := current.send(answer); err != nil {
			s.config.Log.Debug("answer to another VM not delivered", "peer", conn.RemoteAddr(), "id", r.Query.ID, "error", err)
			return
		}
		if current.held == nil {
			visit.MarkIdle(clock.Now())
		}
	}
}
