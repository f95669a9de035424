package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/crocusshore/crocusshore/platform"
)

const (
	// restartInterval is the time between two SIGTERM of a series of restarts.
	restartInterval = 1300 * time.Millisecond
	// maxPlannedInterval bounds the time between two pieces of planned work beside the restarts.
	maxPlannedInterval = 1500 * time.Millisecond
	// maxRouteTimeout and maxTxIdle bound the values that new settings versions give; the least are routeTimeout and txIdle.
	maxRouteTimeout, maxTxIdle = 2 * time.Second, 4 * time.Second
	maxExtraRoutes             = 20
	// maxGraceCut bounds by how much a settings file shortens the grace period; the soak always waits for all of it.
	maxGraceCut = time.Second
)

// planner draws planned work from a seed: work that operators do on a site without any fault.
type planner struct {
	site   *site
	random *rand.Rand
}

// plan draws a series of restarts, Together VMs at a time, and other work beside it.
func (p *planner) plan(length time.Duration) []fault {
	var plan []fault
	order := p.random.Perm(len(p.site.vms))
	next := 0
	for at := time.Duration(0); at < length; at += restartInterval {
		for range p.site.config.Together {
			f := p.restart(order[next%len(order)])
			f.at = at
			plan = append(plan, f)
			next++
		}
	}
	return append(plan, drawSeries(p.random, length, maxPlannedInterval, p.drawWork)...)
}

func (p *planner) drawWork() fault {
	inject := &injector{site: p.site, random: p.random}
	kinds := []func() fault{
		inject.reloadAllFault, p.reloadSome, p.changeFiles, p.changeFiles, p.changeSettings, p.changeSettings, inject.instanceLeaves,
	}
	return kinds[p.random.IntN(len(kinds))]()
}

func (p *planner) restart(vm int) fault {
	return fault{name: fmt.Sprintf("vm-%d restarted", vm), begin: p.site.vms[vm].restart, end: noop}
}

// drawVMs draws some of the VMs.
func (p *planner) drawVMs() []int {
	return p.random.Perm(len(p.site.vms))[:1+p.random.IntN(len(p.site.vms))]
}

func (p *planner) reloadSome() fault {
	vms := p.drawVMs()
	return fault{name: fmt.Sprintf("VMs %v told of their settings", vms), begin: func() { p.reload(vms) }, end: noop}
}

func (p *planner) reload(vms []int) {
	for _, vm := range vms {
		p.site.vms[vm].signal(syscall.SIGHUP, 0)
	}
}

// changeFiles changes the settings files of some VMs, with or without SIGHUP.
func (p *planner) changeFiles() fault {
	vms, told := p.drawVMs(), p.random.IntN(2) == 0
	cut := time.Duration(p.random.Int64N(int64(maxGraceCut)))
	seeds := p.drawVMs()
	change := func(s *platform.Settings) {
		s.Grace -= cut
		for _, seed := range seeds {
			s.Seeds = append(slices.Clip(s.Seeds), p.site.vms[seed].settings.Peers)
		}
	}
	return fault{
		name: fmt.Sprintf("settings files of VMs %v changed, SIGHUP %t", vms, told),
		begin: func() {
			for _, vm := range vms {
				if err := p.site.vms[vm].changeFile(change); err != nil {
					p.site.history.addViolation("settings: %v", err)
				}
			}
			if told {
				p.reload(vms)
			}
		},
		end: noop,
	}
}

// changeSettings puts a new settings version into the store that changes the timeouts and the number of routes.
func (p *planner) changeSettings() fault {
	limits := routeLimits{
		timeout: routeTimeout + time.Duration(p.random.Int64N(int64(maxRouteTimeout-routeTimeout))),
		txIdle:  txIdle + time.Duration(p.random.Int64N(int64(maxTxIdle-txIdle))), extraRoutes: p.random.IntN(maxExtraRoutes),
	}
	return fault{
		name:  fmt.Sprintf("new settings version: timeout %s, idle %s, %d more routes", limits.timeout, limits.txIdle, limits.extraRoutes),
		begin: func() { p.site.putSettings(limits, keyBuilders, keyCrew) }, end: noop,
	}
}
