package soak

import (
	"io"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
)

// buildDaemon builds the daemon and returns its path.
func buildDaemon(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "daemon")
	output, err := exec.Command("go", "build", "-o", program, "github.com/crocusshore/crocusshore/daemon").CombinedOutput()
	require.NoError(t, err, "%s", output)
	return program
}

func TestShortRunBreaksNoInvariant(t *testing.T) {
	program := buildDaemon(t)
	report, err := Run(t.Context(), Config{
		Program: program, Dir: t.TempDir(), Seed: 1, VMs: 4, Groups: 1, Sessions: 12, For: 6 * time.Second, Log: log.New(io.Discard),
	})
	require.NoError(t, err)
	t.Logf("%d acknowledged, %d refused, %d open; faults %q", report.Acknowledged, report.Refused, report.Unknown, report.Faults)
	require.Empty(t, report.Violations)
	require.Zero(t, report.Rejected, "text that a message can hold must be accepted")
	require.Positive(t, report.Acknowledged)
}
