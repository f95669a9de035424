package node

import (
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/platform"
)

const fileText = `
NodeName: "vm"
Zone: "a"
Ip: "127.0.0.1"
Listen: {Front: "127.0.0.1:1", Ready: "127.0.0.1:2", Control: "127.0.0.1:3"}
PortRange: [4, 5]
Seeds: ["127.0.0.1:3"]
HeartbeatMs: 1200
Bounds: {GraceS: 6}
platform: {Addr: "127.0.0.1:6"}
Cloud: {Addr: "127.0.0.1:7"}
`

func TestChangedSettingsFileIsAppliedAndAnInvalidOneIsNot(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write(fileText)
	settings, body, err := platform.ReadSettings(path)
	require.NoError(t, err)
	n := &Node{config: Config{SettingsPath: path, Log: log.New(io.Discard)}, body: body}
	n.settings.Store(&settings)

	write(fileText + `NewField: 1` + "\n" + "FaultTolerance: {Machines: 2}\n")
	n.reload(false)
	require.Equal(t, 6*time.Second, n.settings.Load().Grace)

	write(`NodeName: "vm"`)
	n.reload(true)
	require.Equal(t, []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:3")}, n.settings.Load().Seeds, "a broken file changes nothing")

	write(fileText[:len(fileText)-1] + "\n" + `Region: "r"` + "\n")
	n.reload(true)
	require.Equal(t, 6*time.Second, n.settings.Load().Grace)
	require.NoError(t, os.Remove(path))
	n.reload(true)
	require.Equal(t, 6*time.Second, n.settings.Load().Grace, "a missing file changes nothing")
}
