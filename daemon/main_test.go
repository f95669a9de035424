package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSignalsAreReceivedBeforeThePackagesThatTakeLong guards against a process that SIGHUP ends right after its start: on a busy machine the
// initialization of its packages took 15 ms and more, and until then nothing received signals.
func TestSignalsAreReceivedBeforeThePackagesThatTakeLong(t *testing.T) {
	command := exec.Command(build(t), "--check", "--settings", os.DevNull)
	command.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	output, err := command.CombinedOutput()
	require.Error(t, err, "the settings are empty")
	trace := string(output)
	received := strings.Index(trace, "init github.com/crocusshore/crocusshore/early ")
	require.GreaterOrEqual(t, received, 0, "%s", trace)
	for _, slow := range []string{"init github.com/cockroachdb/errors ", "init google.golang.org/protobuf", "init github.com/crocusshore/crocusshore/model "} {
		require.Greater(t, strings.Index(trace, slow), received, slow)
	}
}

// build builds the daemon and returns its path.
func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "daemon")
	output, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	require.NoError(t, err, "%s", output)
	return program
}

// TestReloadBeforeThePackagesAreInitializedDoesNotEndTheProcess guards against a process that SIGHUP ends before anything of it receives signals.
// The trace of the initialization, which nobody reads, stops the program before its first package.
func TestReloadBeforeThePackagesAreInitializedDoesNotEndTheProcess(t *testing.T) {
	trace, full, err := os.Pipe()
	require.NoError(t, err)
	fill(t, full)
	command := exec.Command(build(t), "--check", "--settings", os.DevNull)
	command.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	command.Stderr = full
	require.NoError(t, command.Start())
	require.NoError(t, full.Close())
	require.Eventually(t, func() bool { return handlesSignals(command.Process.Pid) }, startTimeout, time.Millisecond)
	require.NoError(t, command.Process.Signal(syscall.SIGHUP))
	output, err := io.ReadAll(trace)
	require.NoError(t, err)
	var ended *exec.ExitError
	require.ErrorAs(t, command.Wait(), &ended, "the settings are empty")
	require.True(t, ended.Exited(), "the process was ended by a signal: %s", ended)
	require.Contains(t, string(output), "init github.com/crocusshore/crocusshore/early ")
}

// startTimeout bounds the start of the program on a busy machine.
const startTimeout = 10 * time.Second

// fill writes to a pipe until no more fits.
func fill(t *testing.T, pipe *os.File) {
	t.Helper()
	const size = 1 << 22
	require.NoError(t, pipe.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	_, err := pipe.Write(bytes.Repeat([]byte("\n"), size))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// handlesSignals reports whether a process has handlers for signals.
func handlesSignals(process int) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process))
	handled := regexp.MustCompile(`SigCgt:\s*0*[1-9a-f]`)
	return err == nil && handled.Match(status)
}
