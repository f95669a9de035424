package config

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/jsonc"
)

const validSettings = `{
  // One of the VMs in the east.
  "Vm": "East-01", "Domain": "East",
  "CallerListen": "127.0.0.1:7000", "PeerListen": "127.0.0.1:7100", "OperatorListen": "127.0.0.1:7200",
  "Platform": "127.0.0.1:9000",
  "FleetKeys": {"2026": "ZGVtb25zdHJhdGlvbi1rZXktb2YtMzItYnl0ZXMhISE="},
  "OperatorKey": "a-long-operator-key",
}`

func TestParseReadsTheSettings(t *testing.T) {
	entry, err := Parse("entry.json", []byte(validSettings))
	require.NoError(t, err)
	require.EqualValues(t, "East-01", entry.VM)
	require.EqualValues(t, 7000, entry.Caller.Port())
	require.Len(t, entry.FleetKeys, 1)
	require.False(t, entry.TLS.Enabled())
}

func TestParseReportsEveryFinding(t *testing.T) {
	_, err := Parse("entry.json", []byte(`{"Vm": 1, "CallerListen": "localhost:1", "Surprise": true, "OperatorKey": "short", "LogLevel": "loud"}`))
	var findings *jsonc.Findings
	require.ErrorAs(t, err, &findings)
	var paths []string
	for _, finding := range findings.List() {
		paths = append(paths, finding.Location.Path)
	}
	require.ElementsMatch(t, []string{"/", "/", "/", "/", "/", "/Vm", "/CallerListen", "/Surprise", "/OperatorKey", "/LogLevel"}, paths)
}
