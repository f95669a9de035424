package peers

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/state"
)

// startAnsweringTwice starts a peer that sends each answer twice, the second time when the next request of the connection has come.
func startAnsweringTwice(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		in, before := bufio.NewReader(conn), ""
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			var version int64
			_, _ = fmt.Sscanf(string(body), `{"Group":"g","Version":%d`, &version)
			text := fmt.Sprintf(`[{"VM":"a","Known":{"Term":1,"Position":%d}}]`, version)
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", headerCall, r.Header.Get(headerCall), len(text), text)
			_, _ = conn.Write([]byte(before + answer))
			before = answer
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// TestAnswerOfAPeerIsForOneCall guards against a confirmation that counts for another replacement because it came twice.
func TestAnswerOfAPeerIsForOneCall(t *testing.T) {
	vms := []state.VM{{Name: "a", Peers: startAnsweringTwice(t)}}
	client, answered := NewClient(), 0
	for version := range int64(20) {
		for _, release := range client.RequestReleases(t.Context(), vms, ReleaseRequest{Group: "g", Version: version}) {
			answered++
			require.Equal(t, elect.Release{VM: "a", Known: model.Mark{Term: 1, Position: model.Position(version)}}, release)
		}
	}
	require.Positive(t, answered)
}

// TestLateAnswerOfAPeerIsForNoOtherCall guards against the answer to a call that was given up.
func TestLateAnswerOfAPeerIsForNoOtherCall(t *testing.T) {
	peer := startPeer(t, "a")
	client := NewClient()
	for version := range int64(20) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(version)*20*time.Microsecond)
		_ = client.RequestReleases(ctx, []state.VM{{Name: "a", Peers: peer}}, ReleaseRequest{Group: "g", Version: 1000 + version})
		cancel()
		releases := client.RequestReleases(t.Context(), []state.VM{{Name: "a", Peers: peer}}, ReleaseRequest{Group: "g", Version: version})
		require.Len(t, releases, 1)
		require.Equal(t, model.Position(version), releases[0].Known.Position)
	}
}
