package soak

import (
	"fmt"
	"time"
)

const (
	// evacuationStream separates the draws of evacuations from those of all others, which stay the same for a seed.
	evacuationStream = 4
	// maxEvacuationInterval bounds the time between the beginnings of two evacuations.
	maxEvacuationInterval = 3 * time.Second
	// minEvacuation and maxEvacuation bound the length of an evacuation: some end before the bound, most after it.
	minEvacuation, maxEvacuation = time.Second, 20 * time.Second
	// maxEvacuated is how many failure domains are evacuated at once: with all of them, there are no statements to check.
	maxEvacuated = domainCount - 1
)

// planEvacuations draws evacuations, each of a failure domain that is not evacuated at that time.
func (i *injector) planEvacuations(length time.Duration) []fault {
	var plan []fault
	for at := time.Duration(0); at < length; at += time.Duration(i.random.Int64N(int64(maxEvacuationInterval))) {
		d := i.random.IntN(domainCount)
		f := fault{
			at: at, length: min(minEvacuation+time.Duration(i.random.Int64N(int64(maxEvacuation-minEvacuation))), length-at),
			name:  fmt.Sprintf("failure domain %s evacuated", domainName(d)),
			begin: func() { i.site.evacuate(domainName(d), true) }, end: func() { i.site.evacuate(domainName(d), false) },
		}
		active, same := 0, false
		for _, other := range plan {
			if other.at+other.length >= at {
				active++
				same = same || other.name == f.name
			}
		}
		if !same && active < maxEvacuated {
			plan = append(plan, f)
		}
	}
	return plan
}
