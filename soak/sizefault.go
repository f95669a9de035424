package soak

import (
	"fmt"
	"time"
)

const (
	// sizeStream separates the draws of large settings from those of all others, which stay the same for a seed.
	sizeStream = 6
	// maxSizeInterval bounds the time between two versions of large settings.
	maxSizeInterval = 1500 * time.Millisecond
	// minLargeRoutes and maxLargeRoutes bound the number of routes that no caller uses; a thousand take some 170 KiB.
	minLargeRoutes, maxLargeRoutes = 1000, 2500
	// sizeKillShare is the share of the versions after which a VM is killed at once: one of sizeKillShare.
	sizeKillShare = 3
)

// planSizes draws versions of the settings of some hundred KiB, and kills of VMs between them.
func (i *injector) planSizes(length time.Duration) []fault {
	var plan []fault
	for at := time.Duration(0); at < length; at += time.Duration(i.random.Int64N(int64(maxSizeInterval))) {
		f := i.largeSettings()
		f.at = at
		plan = append(plan, f)
		if i.random.IntN(sizeKillShare) == 0 {
			kill := i.killFault()
			kill.at = at
			plan = append(plan, kill)
		}
	}
	return plan
}

// largeSettings writes a version that adds routes or removes some, or, one in two, that changes the timeouts of all routes as well.
func (i *injector) largeSettings() fault {
	limits := routeLimits{
		timeout: routeTimeout, txIdle: txIdle, extraRoutes: minLargeRoutes + i.random.IntN(maxLargeRoutes-minLargeRoutes),
	}
	if i.random.IntN(2) == 0 {
		limits.timeout += time.Duration(i.random.Int64N(int64(maxRouteTimeout - routeTimeout)))
	}
	return fault{
		name: fmt.Sprintf("settings with %d more routes, timeout %s", limits.extraRoutes, limits.timeout),
		begin: func() {
			i.site.extraRoutes = limits.extraRoutes
			i.site.putSettings(limits, keyBuilders, keyCrew)
		},
		end: noop,
	}
}
