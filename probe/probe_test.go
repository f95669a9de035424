package probe

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFailedNeedsAMajorityOfFailureDomains(t *testing.T) {
	const after = time.Second
	old, fresh := 2*time.Second, 10*time.Millisecond
	cases := []struct {
		name  string
		votes []Vote
		want  bool
	}{
		{"two of three", []Vote{{"East", true, old}, {"North", true, old}, {"West", true, fresh}}, true},
		{"one of three", []Vote{{"East", true, old}, {"North", true, fresh}, {"West", true, fresh}}, false},
		{"a domain that did not probe does not count", []Vote{{"East", true, old}, {"North", false, 0}, {"West", false, 0}}, false},
		{"one VM of a domain still reaches it", []Vote{{"East", true, old}, {"North", true, old}, {"North", true, fresh}}, false},
		{"in the other order as well", []Vote{{"East", true, old}, {"North", true, fresh}, {"North", true, old}}, false},
		{"the same domain twice counts once", []Vote{{"East", true, old}, {"East", true, old}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, Failed(c.votes, 3, after))
		})
	}
}

func TestDetector(t *testing.T) {
	start := time.Unix(0, 0)
	later := start.Add(1500 * time.Millisecond)
	var d Detector
	_, probed := d.UnansweredFor(start)
	require.False(t, probed)
	d.RecordProbe(start)
	d.RecordFailure()
	require.False(t, d.Suspected(later, time.Second), "one lost probe is no failure")
	d.RecordFailure()
	require.True(t, d.Suspected(later, time.Second))
	d.RecordAnswer(later)
	require.False(t, d.Suspected(later, time.Second))
	d.RecordProbe(later)
	age, _ := d.UnansweredFor(later.Add(time.Second))
	require.Equal(t, time.Second, age)
}

// A detector that kept failures from before a pause suspected an instance as soon as it became the primary again.
func TestDetectorDiscardsFailuresFromBeforeAPause(t *testing.T) {
	start := time.Unix(0, 0)
	var d Detector
	d.RecordProbe(start)
	d.RecordFailure()
	d.RecordFailure()
	again := start.Add(time.Minute)
	require.False(t, d.Suspected(again, time.Second))
	d.RecordProbe(again)
	require.False(t, d.Suspected(again, time.Second))
	d.RecordFailure()
	d.RecordFailure()
	require.False(t, d.Suspected(again.Add(500*time.Millisecond), time.Second))
	require.True(t, d.Suspected(again.Add(time.Second), time.Second))
}
