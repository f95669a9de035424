package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/evac"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/platform"
)

// evacuationMargin is the tolerance of the check of evacuations for the machine that runs the soak.
const evacuationMargin = 500 * time.Millisecond

// evacuations holds which failure domains are evacuated, and checks where statements arrive; it is safe for concurrent use.
type evacuations struct {
	mu sync.Mutex
	// acceptedAt holds when the store accepted the row of each evacuated failure domain.
	acceptedAt map[model.Domain]time.Time
	// count is the number of evacuations, and inForce for how long, over all pairs of a failure domain with VMs and an evacuated instance, statements
	// were violations.
	count   int
	inForce time.Duration
}

// evacuate writes the row that requests the evacuation of a failure domain, as an operator would, or removes it.
func (s *site) evacuate(domain model.Domain, requested bool) {
	s.evacuations.mu.Lock()
	defer s.evacuations.mu.Unlock()
	if !requested {
		if _, evacuated := s.evacuations.acceptedAt[domain]; evacuated {
			delete(s.evacuations.acceptedAt, domain)
			s.rows.Delete(platform.TableSettings, platform.EvacuationKey(domain))
		}
		return
	}
	s.rows.Put(platform.TableSettings, platform.EvacuationKey(domain), []byte("{}"))
	s.evacuations.acceptedAt[domain] = time.Now()
	s.evacuations.count++
}

// of returns when the store accepted the row of a failure domain, and whether it is evacuated.
func (e *evacuations) of(domain model.Domain) (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	acceptedAt, evacuated := e.acceptedAt[domain]
	return acceptedAt, evacuated
}

// checkUse checks that a statement did not arrive in a failure domain that has been evacuated for too long.
func (s *site) checkUse(u use) {
	from := slices.IndexFunc(s.vms, func(p *process) bool { return p.settings.VM == u.vm })
	at := slices.IndexFunc(s.instances, func(i model.Instance) bool { return i.Name == u.instance })
	if from < 0 || at < 0 {
		return
	}
	acceptedAt, evacuated := s.evacuations.of(s.instances[at].Domain)
	if evacuated && u.at.After(s.useEndsAt(acceptedAt, u.at, from%domainCount, u.instance)) {
		s.history.addViolation("evacuated: %s by %s reached %s %s after the store accepted the evacuation of its failure domain", u.id, u.vm, u.instance,
			u.at.Sub(acceptedAt).Round(time.Millisecond))
	}
}

// useEndsAt returns until when statements from the VMs of a failure domain may reach an instance that is evacuated. All VMs of a failure domain send
// through those that own connections, so it counts from the end of the last interruption of any of them, and of their path to the instance.
func (s *site) useEndsAt(acceptedAt, now time.Time, from int, instance model.InstanceName) time.Time {
	interruptions := []*interruption{&s.instanceProxies[from][instance].interruption}
	for n := from; n < len(s.vms); n += domainCount {
		interruptions = append(interruptions, &s.vms[n].paused, &s.storeProxies[n].interruption, &s.storeOutages[n])
	}
	end := acceptedAt.Add(evac.DefaultBound + evacuationMargin)
	for _, i := range interruptions {
		end = clock.Later(i.last(now).Add(inEffectTimeout), end)
	}
	return end
}

// measureEvacuations adds up for how long the check of evacuations is in force, until stop is closed.
func (s *site) measureEvacuations(stop <-chan struct{}) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			s.addInForce(now)
		}
	}
}

func (s *site) addInForce(now time.Time) {
	for _, i := range s.instances {
		acceptedAt, evacuated := s.evacuations.of(i.Domain)
		for from := range min(domainCount, len(s.vms)) {
			if evacuated && now.After(s.useEndsAt(acceptedAt, now, from, i.Name)) {
				s.evacuations.mu.Lock()
				s.evacuations.inForce += pollInterval
				s.evacuations.mu.Unlock()
			}
		}
	}
}

// String returns the number of evacuations and how much was checked.
func (e *evacuations) String() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%d evacuations, checked for %s over all paths", e.count, seconds(e.inForce))
}
