package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
)

const (
	// Bounds of a fault's length, of the pause between two of them, and of how long a process stays away.
	leastFault, mostFault = 300 * time.Millisecond, 5 * time.Second
	mostFaultPause        = 1500 * time.Millisecond
	mostAway              = 2 * time.Second
	linkDelay             = 60 * time.Millisecond
	storeDelay            = 120 * time.Millisecond
)

type (
	// fault is one thing that goes wrong for a time.
	fault struct {
		at, length time.Duration
		name       string
		begin, end func()
	}

	// injector draws faults from a seed.
	injector struct {
		site   *site
		random *rand.Rand
		// store is how the store misbehaves now.
		store stand.RowsFaults
	}
)

// plan draws the faults of a run.
func (i *injector) plan(length time.Duration) []fault {
	var plan []fault
	for at := time.Duration(0); at < length; at += time.Duration(i.random.Int64N(int64(mostFaultPause))) {
		f := i.draw()
		f.at = at
		f.length = min(leastFault+time.Duration(i.random.Int64N(int64(mostFault-leastFault))), length-at)
		plan = append(plan, f)
	}
	return plan
}

func (i *injector) draw() fault {
	kinds := []func() fault{
		i.kill, i.terminate, i.pause, i.hup, i.herd, i.database, i.database, i.storeAway, i.storeLossy, i.storeForgets,
		i.storeLink, i.instanceLink, i.instanceLink, i.domainCut, i.leave,
	}
	return kinds[i.random.IntN(len(kinds))]()
}

func (i *injector) vm() int { return i.random.IntN(len(i.site.vms)) }

func (i *injector) away() time.Duration { return time.Duration(i.random.Int64N(int64(mostAway))) }

func none() {}

func (i *injector) kill() fault {
	vm, away := i.vm(), i.away()
	return fault{name: fmt.Sprintf("vm-%d killed, away for %s", vm, away), begin: func() { i.site.vms[vm].signal(syscall.SIGKILL, away) }, end: none}
}

func (i *injector) terminate() fault {
	vm := i.vm()
	return fault{
		name: fmt.Sprintf("vm-%d stopped", vm), begin: func() { i.site.vms[vm].signal(syscall.SIGTERM, 0) }, end: none,
	}
}

func (i *injector) pause() fault {
	vm := i.vm()
	return fault{
		name: fmt.Sprintf("vm-%d paused", vm), begin: func() { i.site.vms[vm].signal(syscall.SIGSTOP, 0) },
		end: func() { i.site.vms[vm].signal(syscall.SIGCONT, 0) },
	}
}

func (i *injector) hup() fault {
	return fault{name: "all told of their settings", begin: func() {
		for _, vm := range i.site.vms {
			vm.signal(syscall.SIGHUP, 0)
		}
	}, end: none}
}

func (i *injector) herd() fault {
	away := i.away()
	return fault{name: fmt.Sprintf("all killed, away for %s", away), begin: func() {
		for _, vm := range i.site.vms {
			vm.signal(syscall.SIGKILL, away)
		}
	}, end: none}
}

func (i *injector) database() fault {
	g := i.random.IntN(len(i.site.clusters))
	name := model.InstanceName(fmt.Sprintf("i-%d-%d", g, i.random.IntN(domains)))
	kinds := map[string]stand.DatabaseFaults{
		"down": {Down: true}, "dark": {Dark: true}, "deaf": {Deaf: true}, "without answers": {LoseAnswers: true},
	}
	kind := []string{"down", "dark", "deaf", "without answers"}[i.random.IntN(len(kinds))]
	return fault{
		name: fmt.Sprintf("%s %s", name, kind), begin: func() { i.site.clusters[g].SetFaults(name, kinds[kind]) },
		end: func() { i.site.clusters[g].SetFaults(name, stand.DatabaseFaults{}) },
	}
}

func (i *injector) storeFault(name string, change func(*stand.RowsFaults)) fault {
	return fault{
		name: name,
		begin: func() {
			change(&i.store)
			i.site.rows.SetFaults(i.store)
		},
		end: func() {
			i.store = stand.RowsFaults{}
			i.site.rows.SetFaults(i.store)
		},
	}
}

func (i *injector) storeAway() fault {
	if i.random.IntN(2) == 0 {
		return i.storeFault("store away", func(f *stand.RowsFaults) { f.Away = true })
	}
	away := map[string]bool{}
	for range 1 + i.random.IntN(len(i.site.vms)/2+1) {
		away[fmt.Sprintf("vm-%d", i.vm())] = true
	}
	return i.storeFault(fmt.Sprintf("store turns %d VMs away", len(away)), func(f *stand.RowsFaults) { f.AwayFor = away })
}

func (i *injector) storeLossy() fault {
	return i.storeFault("store slow and losing answers", func(f *stand.RowsFaults) { f.LoseAnswers, f.Latency = 0.3, storeDelay })
}

func (i *injector) storeForgets() fault {
	return fault{name: "store forgets its history", begin: i.site.rows.Forget, end: none}
}

// link draws how a link misbehaves.
func (i *injector) link() (string, LinkFaults, bool) {
	switch i.random.IntN(5) {
	case 0:
		return "delayed", LinkFaults{Delay: linkDelay}, false
	case 1:
		return "silent", LinkFaults{MuteForth: true, MuteBack: true}, false
	case 2:
		return "cut one way", LinkFaults{MuteBack: true}, false
	case 3:
		return "refused", LinkFaults{Refuse: true}, true
	default:
		return "reset", LinkFaults{}, true
	}
}

func (i *injector) linkFault(name string, proxies []*Proxy) fault {
	kind, faults, reset := i.link()
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
	vm := i.vm()
	return i.linkFault(fmt.Sprintf("way of vm-%d to the store", vm), []*Proxy{i.site.stores[vm]})
}

func (i *injector) instanceLink() fault {
	d := i.random.IntN(domains)
	instance := i.site.instances[i.random.IntN(len(i.site.instances))].Name
	return i.linkFault(fmt.Sprintf("way of failure domain %s to %s", domainName(d), instance), []*Proxy{i.site.links[d][instance]})
}

// domainCut silences all ways between a failure domain and the store and the instances of the others.
func (i *injector) domainCut() fault {
	cut := i.random.IntN(domains)
	var proxies []*Proxy
	for vm, proxy := range i.site.stores {
		if vm%domains == cut {
			proxies = append(proxies, proxy)
		}
	}
	for d, links := range i.site.links {
		for _, instance := range i.site.instances {
			if (d == cut) != (instance.Domain == domainName(cut)) {
				proxies = append(proxies, links[instance.Name])
			}
		}
	}
	return i.linkFault(fmt.Sprintf("failure domain %s", domainName(cut)), proxies)
}

// leave lets an instance report that it leaves, and come back.
func (i *injector) leave() fault {
	instance := i.site.instances[i.random.IntN(len(i.site.instances))]
	announce := func(leaving bool) {
		changed := instance
		changed.Leaving = leaving
		changed.Role = i.site.role(instance)
		i.site.announce(changed)
	}
	return fault{name: string(instance.Name) + " leaves", begin: func() { announce(true) }, end: func() { announce(false) }}
}
