package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// maxProbes is how many VMs are probed at a time.
const maxProbes = 8

// probeAllVMs sends a write through each VM to each group, until one fails, and reports whether all succeeded.
func (s *site) probeAllVMs() bool {
	var failed atomic.Bool
	var probes sync.WaitGroup
	free := make(chan struct{}, maxProbes)
	for _, vm := range s.vms {
		free <- struct{}{}
		probes.Go(func() {
			defer func() { <-free }()
			for g := range s.config.Groups {
				if failed.Load() || !s.probeWrite(vm, g) {
					failed.Store(true)
				}
			}
		})
	}
	probes.Wait()
	return !failed.Load()
}

// probeWrite sends a write through a VM to a group and reports whether it succeeded.
func (s *site) probeWrite(vm *process, g int) bool {
	n := s.lastID.Add(1)
	c := &caller{
		site: s, name: fmt.Sprintf("probe%d", n), random: rand.New(rand.NewPCG(s.config.Seed, uint64(n))), team: teamBuilders, key: keyBuilders,
		route: route{name: fmt.Sprintf("revise-%d", g), group: groupName(g)},
	}
	if c.open(vm) != nil {
		return false
	}
	defer c.disconnect()
	before := s.history.lastAckedNumber(c.item, time.Now())
	return c.write() == nil && s.history.lastAckedNumber(c.item, time.Now()) > before
}

// revokeKey revokes the key of the crew and checks that within inEffectTimeout no VM accepts it any more.
func (s *site) revokeKey(ctx context.Context) {
	s.putSettings(routeLimits{timeout: routeTimeout, txIdle: txIdle, extraRoutes: s.extraRoutes}, keyBuilders, "key-crew-2")
	refused := func() bool {
		for _, vm := range s.vms {
			c := &caller{site: s, name: "former", team: teamCrew, key: keyCrew, route: s.routes()[0]}
			if c.open(vm) == nil {
				c.disconnect()
				return false
			}
		}
		return true
	}
	if !s.await(ctx, inEffectTimeout, refused) {
		s.history.addViolation("settings: a key that was withdrawn is accepted after %s", inEffectTimeout)
	}
}

// awaitPrimaries waits until every group has a primary, whose log the audit compares with what callers were answered.
func (s *site) awaitPrimaries(ctx context.Context) {
	if !s.await(ctx, recoveryTimeout, s.havePrimaries) {
		s.history.addViolation("recovery: a group has no primary %s after the last statement", recoveryTimeout)
	}
}

func (s *site) havePrimaries() bool {
	for _, cluster := range s.clusters {
		if name, _ := cluster.Primary(); name == "" {
			return false
		}
	}
	return true
}
