package node

import (
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// commandSettings names the settings file of TestCommandInAnotherProcess.
const commandSettings = "CROCUSSHORE_TEST_COMMAND_SETTINGS"

// TestCommandInAnotherProcess is the process that other tests of the command start.
func TestCommandInAnotherProcess(t *testing.T) {
	path := os.Getenv(commandSettings)
	if path == "" {
		return // No other test has started this process.
	}
	require.NoError(t, Command(ReceiveSignals).Run(t.Context(), []string{"node", "--settings", path}))
}

// TestSignalWhileSettingsAreReadDoesNotKillTheProcess guards against a process that ends without an order to its stop, or by a mere
// announcement of new settings, because the signal came before its handler was installed.
func TestSignalWhileSettingsAreReadDoesNotKillTheProcess(t *testing.T) {
	for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		t.Run(signal.String(), func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "settings.yaml")
			require.NoError(t, syscall.Mkfifo(path, 0o600))
			process := exec.Command(os.Args[0], "-test.run=^TestCommandInAnotherProcess$")
			process.Env = append(os.Environ(), commandSettings+"="+path)
			var out strings.Builder
			process.Stdout, process.Stderr = &out, &out
			require.NoError(t, process.Start())
			settings, err := os.OpenFile(path, os.O_WRONLY, 0) // It waits until the process opens the file to read it.
			require.NoError(t, err)
			require.NoError(t, process.Process.Signal(signal))
			_, err = io.WriteString(settings, "no settings")
			require.NoError(t, err)
			require.NoError(t, settings.Close())
			require.Error(t, process.Wait())
			require.True(t, process.ProcessState.Exited(), "the process ended by a signal: %s", process.ProcessState)
			require.Contains(t, out.String(), "the settings file is not valid", "the process read the settings")
		})
	}
}
