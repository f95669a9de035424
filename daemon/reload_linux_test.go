package main

import (
	"os"
	"os/exec"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// reloadEvery is the number of stops between two SIGHUPs, which leaves the process time to handle one.
const reloadEvery = 11

// TestReloadAnywhereInTheStart guards against a moment in the start at which SIGHUP ends the process once code of the program has run: before it is
// ignored, between that and the handler of the Go runtime, or while that has no receiver.
func TestReloadAnywhereInTheStart(t *testing.T) {
	program := build(t)
	for first := range reloadEvery {
		p := startTraced(t, program, exec.Command(program, "--check", "--settings", os.DevNull))
		before, stops, sent := actionDefault, 0, 0
		require.Equal(t, before, p.reloadAction(), "before the start")
		status := p.finish(func(thread int) {
			now := p.reloadAction()
			if now == actionDefault {
				require.Equal(t, actionDefault, before, "SIGHUP ends the process again")
				require.False(t, p.inProgram(thread), "SIGHUP ends the process, and the program runs")
				return
			}
			if stops%reloadEvery == first {
				require.NoError(t, unix.Kill(p.process, unix.SIGHUP))
				sent++
			}
			before = now
			stops++
		})
		require.True(t, status.Exited(), "ended by %s", status.Signal())
		require.Equal(t, actionHandled, before)
		require.Greater(t, sent, 10, "SIGHUPs at system calls")
	}
}

// TestReloadRightAfterExec shows the limit of what the program can do: until its first instruction, only the kernel, the dynamic loader and the C
// library work, and SIGHUP ends the process, unless whatever started it ignored the signal. docs/OPERATIONS.md tells operators.
func TestReloadRightAfterExec(t *testing.T) {
	program := build(t)
	t.Run("by default", func(t *testing.T) {
		p := startTraced(t, program, exec.Command(program, "--check", "--settings", os.DevNull))
		require.NoError(t, unix.Kill(p.process, unix.SIGHUP))
		status := p.finish(nil)
		require.True(t, status.Signaled(), "ended with %d", status.ExitStatus())
		require.Equal(t, unix.SIGHUP, status.Signal())
	})
	t.Run("ignored by what starts the process", func(t *testing.T) {
		p := startTraced(t, program, exec.Command("sh", "-c", `trap "" HUP; exec "$@"`, "sh", program, "--check", "--settings", os.DevNull))
		require.NoError(t, unix.PtraceCont(p.process, 0))
		p.awaitExec()
		last := p.reloadAction()
		require.Equal(t, actionIgnored, last)
		require.NoError(t, unix.Kill(p.process, unix.SIGHUP))
		status := p.finish(func(int) { last = p.reloadAction() })
		require.True(t, status.Exited(), "ended by %s", status.Signal())
		require.Equal(t, actionHandled, last, "the process hears later ones")
	})
}
