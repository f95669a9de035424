package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/crocusshore/crocusshore/stand"
)

const (
	// minFaultTime and maxFaultTime bound the duration of a fault; one that begins near the end of the run may be shorter.
	minFaultTime, maxFaultTime = 300 * time.Millisecond, 5 * time.Second
	// maxFaultInterval bounds the time between the beginnings of two faults, so that faults overlap.
	maxFaultInterval = 1500 * time.Millisecond
	// maxDowntime bounds the time from the kill of a process until it is started again.
	maxDowntime = 2 * time.Second
	linkDelay   = 60 * time.Millisecond
	storeDelay  = 120 * time.Millisecond
)

type (
	// fault is one fault of a run; at is its beginning, counted from the beginning of the run's faults.
	fault struct {
		at, length time.Duration
		name       string
		begin, end func()
	}

	// injector draws faults from a seed.
	injector struct {
		site   *site
		random *rand.Rand
		// store holds the faults of the store that are active now.
		store stand.RowsFaults
	}
)

// plan draws the faults of a run.
func (i *injector) plan(length time.Duration) []fault {
	return drawSeries(i.random, length, maxFaultInterval, i.drawFault)
}

// drawSeries draws faults of random lengths that begin at random intervals of at most maxInterval.
func drawSeries(random *rand.Rand, length, maxInterval time.Duration, draw func() fault) []fault {
	var plan []fault
	for at := time.Duration(0); at < length; at += time.Duration(random.Int64N(int64(maxInterval))) {
		f := draw()
		f.at = at
		f.length = min(minFaultTime+time.Duration(random.Int64N(int64(maxFaultTime-minFaultTime))), length-at)
		plan = append(plan, f)
	}
	return plan
}

func (i *injector) drawFault() fault {
	kinds := []func() fault{
		i.killFault, i.terminateFault, i.pauseFault, i.reloadAllFault, i.killAllFault, i.databaseFault, i.databaseFault, i.storeUnavailable, i.storeLossy,
		i.storeDropsHistory, i.storeLink, i.instanceLink, i.instanceLink, i.isolateDomainFault, i.instanceLeaves,
	}
	return kinds[i.random.IntN(len(kinds))]()
}

func (i *injector) drawVM() int { return i.random.IntN(len(i.site.vms)) }

func (i *injector) drawDowntime() time.Duration {
	return time.Duration(i.random.Int64N(int64(maxDowntime)))
}

func noop() {}

func (i *injector) killFault() fault {
	vm, downtime := i.drawVM(), i.drawDowntime()
	return fault{
		name:  fmt.Sprintf("vm-%d killed, away for %s", vm, downtime),
		begin: func() { i.site.vms[vm].signal(syscall.SIGKILL, downtime) }, end: noop,
	}
}

func (i *injector) terminateFault() fault {
	vm := i.drawVM()
	return fault{
		name: fmt.Sprintf("vm-%d stopped", vm), begin: func() { i.site.vms[vm].signal(syscall.SIGTERM, 0) }, end: noop,
	}
}

func (i *injector) pauseFault() fault {
	vm := i.drawVM()
	return fault{
		name: fmt.Sprintf("vm-%d paused", vm), begin: func() { i.site.vms[vm].signal(syscall.SIGSTOP, 0) },
		end: func() { i.site.vms[vm].signal(syscall.SIGCONT, 0) },
	}
}

func (i *injector) reloadAllFault() fault {
	return fault{name: "all told of their settings", begin: func() {
		for _, vm := range i.site.vms {
			vm.signal(syscall.SIGHUP, 0)
		}
	}, end: noop}
}

func (i *injector) killAllFault() fault {
	downtime := i.drawDowntime()
	return fault{name: fmt.Sprintf("all killed, away for %s", downtime), begin: func() {
		for _, vm := range i.site.vms {
			vm.signal(syscall.SIGKILL, downtime)
		}
	}, end: noop}
}

func (i *injector) databaseFault() fault {
	g := i.random.IntN(len(i.site.clusters))
	name := instanceName(g, i.random.IntN(domainCount))
	kinds := map[string]stand.DatabaseFaults{
		"down": {Down: true}, "dark": {Unresponsive: true}, "deaf": {NoReplication: true}, "without answers": {LoseAnswers: true},
	}
	kind := []string{"down", "dark", "deaf", "without answers"}[i.random.IntN(len(kinds))]
	return fault{
		name: fmt.Sprintf("%s %s", name, kind), begin: func() { i.site.setFaults(g, name, kinds[kind]) },
		end: func() { i.site.setFaults(g, name, stand.DatabaseFaults{}) },
	}
}

func (i *injector) storeFault(name string, change func(*stand.RowsFaults)) fault {
	return fault{
		name: name,
		begin: func() {
			change(&i.store)
			i.site.setStoreFaults(i.store)
		},
		end: func() {
			i.store = stand.RowsFaults{}
			i.site.setStoreFaults(i.store)
		},
	}
}

func (i *injector) storeUnavailable() fault {
	if i.random.IntN(2) == 0 {
		return i.storeFault("store away", func(f *stand.RowsFaults) { f.Unavailable = true })
	}
	unavailable := map[string]bool{}
	for range 1 + i.random.IntN(len(i.site.vms)/2+1) {
		unavailable[fmt.Sprintf("vm-%d", i.drawVM())] = true
	}
	return i.storeFault(fmt.Sprintf("store turns %d VMs away", len(unavailable)), func(f *stand.RowsFaults) { f.UnavailableFor = unavailable })
}

func (i *injector) storeLossy() fault {
	return i.storeFault("store slow and losing answers", func(f *stand.RowsFaults) { f.LostAnswerShare, f.Latency = 0.3, storeDelay })
}

func (i *injector) storeDropsHistory() fault {
	return fault{name: "store forgets its history", begin: i.site.rows.DropHistory, end: noop}
}

// drawLinkFault draws a fault of network paths and returns its name; if the last result is true, open connections are reset too.
func (i *injector) drawLinkFault() (string, LinkFaults, bool) {
	switch i.random.IntN(5) {
	case 0:
		return "delayed", LinkFaults{Delay: linkDelay}, false
	case 1:
		return "silent", LinkFaults{StallToTarget: true, StallToClient: true}, false
	case 2:
		return "cut one way", LinkFaults{StallToClient: true}, false
	case 3:
		return "refused", LinkFaults{Refuse: true}, true
	default:
		return "reset", LinkFaults{}, true
	}
}

func (i *injector) linkFault(name string, proxies []*Proxy) fault {
	kind, faults, reset := i.drawLinkFault()
	return fault{
		name: name + " " + kind,
		begin: func() {
			for _, p := range proxies {
				p.Set(faults)
				if reset {
					p.Reset()
				}
			}
		},
		end: func() {
			for _, p := range proxies {
				p.Set(LinkFaults{})
			}
		},
	}
}

func (i *injector) storeLink() fault {
	vm := i.drawVM()
	return i.linkFault(fmt.Sprintf("way of vm-%d to the platform", vm), []*Proxy{i.site.storeProxies[vm], i.site.orderProxies[vm]})
}

func (i *injector) instanceLink() fault {
	d := i.random.IntN(domainCount)
	instance := i.site.instances[i.random.IntN(len(i.site.instances))].Name
	return i.linkFault(fmt.Sprintf("way of failure domain %s to %s", domainName(d), instance), []*Proxy{i.site.instanceProxies[d][instance]})
}

// isolateDomainFault applies one link fault to three kinds of paths: from the VMs of a failure domain to the platform, from these VMs to
// the instances of other domains, and from the VMs of other domains to the domain's instances. Paths between VMs stay as they are.
func (i *injector) isolateDomainFault() fault {
	isolated := i.random.IntN(domainCount)
	var proxies []*Proxy
	for vm, proxy := range i.site.storeProxies {
		if vm%domainCount == isolated {
			proxies = append(proxies, proxy, i.site.orderProxies[vm])
		}
	}
	for d, links := range i.site.instanceProxies {
		for _, instance := range i.site.instances {
			if (d == isolated) != (instance.Domain == domainName(isolated)) {
				proxies = append(proxies, links[instance.Name])
			}
		}
	}
	return i.linkFault(fmt.Sprintf("failure domain %s", domainName(isolated)), proxies)
}

// instanceLeaves registers an instance as leaving, and as not leaving when the fault ends.
func (i *injector) instanceLeaves() fault {
	instance := i.site.instances[i.random.IntN(len(i.site.instances))]
	register := func(leaving bool) {
		changed := instance
		changed.Leaving = leaving
		changed.Role = i.site.role(instance)
		i.site.register(changed)
	}
	return fault{name: string(instance.Name) + " leaves", begin: func() { register(true) }, end: func() { register(false) }}
}
