package soak

import (
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
)

func TestConfigCheckReportsAllProblems(t *testing.T) {
	err := Config{Program: "missing", Sessions: 1}.Check()
	for _, name := range []string{"VMs", "Groups", "For", "Program"} {
		require.ErrorContains(t, err, name)
	}
	require.NotContains(t, err.Error(), "Sessions")
	require.ErrorContains(t, Config{VMs: 1, PlannedOnly: true, Together: 2}.Check(), "Together")
	_, err = Run(t.Context(), Config{})
	require.Error(t, err, "Run must check its configuration")
	require.NoError(t, Config{Program: "config_test.go", VMs: 1, Groups: 1, Sessions: 1, For: time.Second, Log: log.Default()}.Check())
}
