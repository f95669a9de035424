package share

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLateReportOfAnOlderProgramDoesNotSilenceTheNext guards against a VM whose demand does not count after its update: a late datagram of the process
// before, whose program numbers nothing, made the present process the former one.
func TestLateReportOfAnOlderProgramDoesNotSilenceTheNext(t *testing.T) {
	present, now := demandAt(time.Unix(1000, 0), 50)
	to := New(now, present.config)
	late := Report{VM: "a"}
	to.RecordReport(now, late)
	to.RecordReport(now.Add(time.Millisecond), present.Report(now, "a"))
	to.RecordReport(now.Add(2*time.Millisecond), late)
	counted := to.peers[0].reports[len(to.peers[0].reports)-1].at
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		to.RecordReport(now, present.Report(now, "a"))
	}
	require.True(t, to.peers[0].reports[len(to.peers[0].reports)-1].at.After(counted), "none of 20 reports of the present process counts")
}
