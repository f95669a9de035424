package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSignalsAreReceivedBeforeThePackagesThatTakeLong guards against a process that SIGHUP ends right after its start: on a busy machine the
// initialization of its packages took 15 ms and more, and until then nothing received signals.
func TestSignalsAreReceivedBeforeThePackagesThatTakeLong(t *testing.T) {
	program := filepath.Join(t.TempDir(), "daemon")
	output, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	require.NoError(t, err, "%s", output)
	command := exec.Command(program, "--check", "--settings", os.DevNull)
	command.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	output, err = command.CombinedOutput()
	require.Error(t, err, "the settings are empty")
	trace := string(output)
	received := strings.Index(trace, "init github.com/crocusshore/crocusshore/early ")
	require.GreaterOrEqual(t, received, 0, "%s", trace)
	for _, slow := range []string{"init github.com/cockroachdb/errors ", "init google.golang.org/protobuf", "init github.com/crocusshore/crocusshore/model "} {
		require.Greater(t, strings.Index(trace, slow), received, slow)
	}
}
