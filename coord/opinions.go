package coord

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/peers"
	"github.com/crocusshore/crocusshore/state"
)

const (
	// opinionTimeout bounds the requests for opinions on a primary, on top of timeoutPerVM.
	opinionTimeout = 400 * time.Millisecond
	// opinionsPerDomain is how many VMs of each failure domain are asked whether they reach a primary. A sample suffices, because each answer
	// may cost a request to the primary and no promotion relies on the verdict for its safety.
	opinionsPerDomain = 6
)

// decideFromOpinions asks other VMs about the primary of a group and returns the verdict. If commits are stuck here, it asks all VMs: any of
// them may have had a commit answered.
func (s *Supervisor) decideFromOpinions(ctx context.Context, group model.GroupName) elect.Verdict {
	vms := s.config.Cache.Snapshot().Others(s.config.Self)
	if s.config.Server.CommitStatus(clock.Now(), group).StuckSince.IsZero() {
		vms = sampleVMs(vms, opinionsPerDomain)
	}
	ctx, cancel := context.WithTimeout(ctx, timeoutFor(len(vms), opinionTimeout))
	defer cancel()
	opinions := s.config.Client.RequestOpinions(ctx, vms, group)
	opinions = append(opinions, s.config.Responder.Opinion(peers.OpinionRequest{Group: group}))
	survey := s.surveyOf(vms, opinions)
	survey.ReachesElsewhere = func() bool { return s.reachesElsewhere(group) }
	verdict := survey.Verdict()
	s.config.Log.Info("opinions on a primary", "group", group, "verdict", verdict, "asked", len(vms), "domains", survey.Domains,
		"domains-answered", survey.Answered, "opinions", opinions)
	return verdict
}

// surveyOf returns the survey of this VM and the VMs that were asked, with the opinions that were returned.
func (s *Supervisor) surveyOf(asked []state.VM, opinions []elect.Opinion) elect.Survey {
	domains := map[model.VMID]model.Domain{s.config.Self: s.config.Domain}
	for _, vm := range asked {
		domains[vm.Name] = vm.Domain
	}
	all, answered := map[model.Domain]bool{}, map[model.Domain]bool{}
	for _, domain := range domains {
		all[domain] = true
	}
	for _, o := range opinions {
		if domain, known := domains[o.VM]; known {
			answered[domain] = true
		}
	}
	return elect.Survey{Opinions: opinions, Domains: len(all), Answered: len(answered)}
}

// reachesElsewhere reports whether a replica of a group in another failure domain answers this VM.
func (s *Supervisor) reachesElsewhere(group model.GroupName) bool {
	for _, replica := range s.config.Cache.Snapshot().GroupReplicas(group) {
		if replica.Domain == s.config.Domain {
			continue
		}
		if _, err := s.status(replica); err == nil {
			return true
		}
	}
	return false
}

// sampleVMs returns at most perDomain random VMs of each failure domain.
func sampleVMs(vms []state.VM, perDomain int) []state.VM {
	counts := map[model.Domain]int{}
	sample := make([]state.VM, 0, len(vms))
	for _, at := range rand.Perm(len(vms)) {
		vm := vms[at]
		if counts[vm.Domain] < perDomain {
			counts[vm.Domain]++
			sample = append(sample, vm)
		}
	}
	return sample
}

// timeoutFor returns the timeout of a request to a number of VMs.
func timeoutFor(vms int, base time.Duration) time.Duration {
	return base + time.Duration(vms)*timeoutPerVM
}
