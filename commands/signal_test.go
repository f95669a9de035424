package commands

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// nodeSettings names the settings file of TestNodeInAnotherProcess.
const nodeSettings = "CROCUSSHORE_TEST_NODE_SETTINGS"

// nodeSettingsText are settings of a node whose store is not there.
const nodeSettingsText = `
NodeName: "vm"
Zone: "a"
Ip: "127.0.0.9"
Listen: {Front: "127.0.0.9:7001", Ready: "127.0.0.9:7002", Control: "127.0.0.9:7003"}
PortRange: [7004, 7005]
Seeds: ["127.0.0.9:7003"]
HeartbeatMs: 1200
Bounds: {GraceS: 3}
platform: {Addr: "127.0.0.9:6"}
Cloud: {Addr: "127.0.0.9:7"}
`

// TestNodeInAnotherProcess is the process that TestSIGTERMStopsTheNodeAsPlanned starts.
func TestNodeInAnotherProcess(t *testing.T) {
	path := os.Getenv(nodeSettings)
	if path == "" {
		return // No other test has started this process.
	}
	os.Exit(Run([]string{"crocusshore", "node", "--settings", path}))
}

// TestSIGTERMStopsTheNodeAsPlanned guards against a node that ends at once at SIGTERM, with its sessions: the signal also ended the context of
// the command.
func TestSIGTERMStopsTheNodeAsPlanned(t *testing.T) {
	for range 8 {
		path := filepath.Join(t.TempDir(), "settings.yaml")
		require.NoError(t, os.WriteFile(path, []byte(nodeSettingsText), 0o600))
		process := exec.Command(os.Args[0], "-test.run=^TestNodeInAnotherProcess$")
		process.Env = append(os.Environ(), nodeSettings+"="+path)
		var out strings.Builder
		process.Stdout, process.Stderr = &out, &out
		require.NoError(t, process.Start())
		time.Sleep(700 * time.Millisecond)
		require.NoError(t, process.Process.Signal(syscall.SIGTERM))
		err := process.Wait()
		require.NoError(t, err, out.String())
		require.Contains(t, out.String(), "daemon stopped")
	}
}
