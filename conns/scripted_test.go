package conns

import (
	"bufio"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/platform"
	"github.com/crocusshore/crocusshore/tree"
)

// scripted is an instance that writes, for the n-th statement of a connection, what a script says.
type scripted struct {
	mu  sync.Mutex
	ran []string
}

func (s *scripted) texts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.ran...)
}

// newScripted serves connections; script gets the number of the statement on its connection (from 1) and its text, and returns raw bytes to send at once.
func newScripted(t *testing.T, ready string, script func(n int, id, text string) string) (*scripted, *Pool, Request) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &scripted{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				in := bufio.NewReader(conn)
				n := 0
				for {
					line, err := in.ReadString('\n')
					if err != nil {
						return
					}
					out := ready
					if words := strings.SplitN(strings.TrimSuffix(line, "\r\n"), " ", 3); words[0] == "QUERY" {
						n++
						s.mu.Lock()
						s.ran = append(s.ran, words[2])
						s.mu.Unlock()
						out = script(n, words[1], words[2])
					}
					if _, err := conn.Write([]byte(out)); err != nil {
						return
					}
				}
			}()
		}
	}()
	to := model.Instance{Name: "i", Group: "g", Address: netip.MustParseAddrPort(listener.Addr().String()), Slots: 3}
	pool := New(Config{Dialer: platform.Dialer{}, Formatter: platform.StatementFormatter{}, Budget: func(model.Instance) int { return 1 }})
	return s, pool, Request{Instance: to, Team: "a", Class: tree.ClassNormal, Deadline: clock.Now().Add(5 * time.Second)}
}

func in(d time.Duration) time.Time { return clock.Now().Add(d) }

const ready = "READY I 1.7\r\n"

// setupAndRun sets the values of a session and runs a query.
func setupAndRun(c *Conn, deadline time.Time, values map[string]string, q model.Query) (model.Reply, error) {
	if err := c.Setup(deadline, values, nil); err != nil {
		return model.Reply{}, err
	}
	return c.Run(deadline, q)
}
