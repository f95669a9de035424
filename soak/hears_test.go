package soak

import (
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOnlyAProcessThatHearsItIsToldOfItsSettings guards against a soak that ends a process by SIGHUP before any code of its program runs, which no
// program can prevent.
func TestOnlyAProcessThatHearsItIsToldOfItsSettings(t *testing.T) {
	for name, c := range map[string]struct {
		script string
		hears  bool
	}{
		"by default": {script: "read line", hears: signal.Ignored(syscall.SIGHUP)},
		"ignored":    {script: `trap "" HUP; echo ready; read line`, hears: true},
		"handled":    {script: `trap : HUP; echo ready; read line`, hears: true},
	} {
		t.Run(name, func(t *testing.T) {
			command := exec.Command("sh", "-c", c.script)
			input, err := command.StdinPipe()
			require.NoError(t, err)
			output, err := command.StdoutPipe()
			require.NoError(t, err)
			require.NoError(t, command.Start())
			if strings.Contains(c.script, "ready") {
				_, err = output.Read(make([]byte, 1))
				require.NoError(t, err)
			}
			require.Equal(t, c.hears, hearsReload(command.Process.Pid))
			require.NoError(t, input.Close())
			_ = command.Wait()
		})
	}
	require.False(t, hearsReload(-1), "no process")
}
