package soak

import (
	"fmt"
	"time"

	"github.com/crocusshore/crocusshore/platform"
)

const (
	// restoreStream separates the draws of returns of the store from those of all others, which stay the same for a seed.
	restoreStream = 8
	// maxRestoreInterval bounds the time between the instants of two copies.
	maxRestoreInterval = 6 * time.Second
	// minCopyAge and maxCopyAge bound how old a copy is when the store comes back from it.
	minCopyAge, maxCopyAge = 500 * time.Millisecond, 5 * time.Second
)

// planRestores draws returns of the store from older copies. The store is not away for them; that is a fault of another series.
func (i *injector) planRestores(length time.Duration) []fault {
	var plan []fault
	for at := time.Duration(i.random.Int64N(int64(maxRestoreInterval))); at < length; at += time.Duration(i.random.Int64N(int64(maxRestoreInterval))) {
		age := min(minCopyAge+time.Duration(i.random.Int64N(int64(maxCopyAge-minCopyAge))), length-at)
		plan = append(plan, i.restore(at, age))
	}
	return plan
}

// restore returns a copy that is taken at an instant and from which the store comes back at the end of the fault. What the operator and the instances wrote is
// written again.
func (i *injector) restore(at, age time.Duration) fault {
	restore := noop
	return fault{
		at: at, length: age, name: fmt.Sprintf("store comes back from a copy that is %s old", age),
		begin: func() {
			from := i.site.rows.Copy()
			restore = func() { i.site.rows.Restore(from, platform.TableSettings, platform.TableInstances) }
		},
		end: func() { restore() },
	}
}
