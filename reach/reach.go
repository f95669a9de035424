package reach

import "time"

// silence is how old what comes all the time may get; the store and the reader of a failure domain confirm their copies, and pass on
// positions, about once a second.
const silence = 1200 * time.Millisecond

// Signs is what a VM knows of its contact with the store and with the groups.
type Signs struct {
	// TableAge is how long ago the table of the fleet was current, as the store or any VM tells.
	TableAge time.Duration
	// SampleAges are how long ago the position of each group that replicas serve was last proven.
	SampleAges []time.Duration
}

// CutOff tells whether callers are served better elsewhere: neither the store nor a VM that reaches it answers, and most groups are out
// of reach. An outage of the store alone leaves the groups in reach, and the loss of groups leaves the store.
func CutOff(s Signs) bool {
	if s.TableAge <= silence {
		return false
	}
	lost := 0
	for _, age := range s.SampleAges {
		if age > silence {
			lost++
		}
	}
	return lost*2 > len(s.SampleAges)
}
