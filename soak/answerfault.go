package soak

import (
	"fmt"
	"math"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
)

const (
	// answerFaultStream separates the draws of these faults from those of all others, which stay the same for a seed.
	answerFaultStream = 3
	// maxAnswerFaultInterval bounds the time between the beginnings of two faults of answers.
	maxAnswerFaultInterval = 1200 * time.Millisecond
	// minAnswerShare is the least share of the answers, or of the statements, that a fault applies to.
	minAnswerShare = 0.02
	// maxCutShare, maxDelayedShare and maxRefusedShare bound the shares of faults that would leave nothing to check if they applied to all.
	maxCutShare, maxDelayedShare, maxRefusedShare = 0.3, 0.5, 0.5
	// repeatWithin and lateRepeatWithin bound the time until an answer is repeated; one of lateRepeatShare of these faults has the latter.
	repeatWithin, lateRepeatWithin = 300 * time.Millisecond, 2 * time.Second
	lateRepeatShare                = 4
	// maxAnswerDelay exceeds the timeout of a route, so that answers also come after they have been given up.
	maxAnswerDelay = 1500 * time.Millisecond
)

// planAnswerFaults draws the faults of the answers of instances.
func (i *injector) planAnswerFaults(length time.Duration) []fault {
	return drawSeries(i.random, length, maxAnswerFaultInterval, i.drawAnswerFault)
}

func (i *injector) drawAnswerFault() fault {
	kinds := []func() fault{i.answersRepeated, i.answersRepeated, i.answersRepeated, i.answersCut, i.answersLate, i.setsRefused, i.setsRefused}
	return kinds[i.random.IntN(len(kinds))]()
}

// drawShare draws a share up to the largest; small ones, which leave most of the traffic whole, are as frequent as large ones.
func (i *injector) drawShare(largest float64) float64 {
	return minAnswerShare * math.Pow(largest/minAnswerShare, i.random.Float64())
}

// answerFault is a fault of the answers of any instance; change sets it with a share of the answers, and ends it with 0.
func (i *injector) answerFault(name string, share float64, change func(f *stand.AnswerFaults, share float64)) fault {
	g := i.random.IntN(len(i.site.clusters))
	instance := instanceName(g, i.random.IntN(domainCount))
	set := func(share float64) {
		i.site.changeFaults(g, instance, func(f *stand.DatabaseFaults) { change(&f.Answers, share) })
	}
	return fault{
		name: fmt.Sprintf("%s: %s, share %.2f", instance, name, share), begin: func() { set(share) }, end: func() { set(0) },
	}
}

func (i *injector) answersRepeated() fault {
	within := repeatWithin
	if i.random.IntN(lateRepeatShare) == 0 {
		within = lateRepeatWithin
	}
	return i.answerFault(fmt.Sprintf("answers repeated within %s", within), i.drawShare(1), func(f *stand.AnswerFaults, share float64) {
		f.Repeated, f.RepeatWithin = share, within
	})
}

func (i *injector) answersCut() fault {
	return i.answerFault("answers cut", i.drawShare(maxCutShare), func(f *stand.AnswerFaults, share float64) { f.Cut = share })
}

func (i *injector) answersLate() fault {
	return i.answerFault("answers late", i.drawShare(maxDelayedShare), func(f *stand.AnswerFaults, share float64) {
		f.Delayed, f.DelayWithin = share, maxAnswerDelay
	})
}

func (i *injector) setsRefused() fault {
	return i.answerFault("SET and PREPARE refused", i.drawShare(maxRefusedShare), func(f *stand.AnswerFaults, share float64) { f.RefusedSets = share })
}

// setFaults replaces the faults of an instance, except those of its answers and of its start, which belong to series of their own.
func (s *site) setFaults(g int, name model.InstanceName, faults stand.DatabaseFaults) {
	s.changeFaults(g, name, func(f *stand.DatabaseFaults) {
		faults.Answers, faults.Start = f.Answers, f.Start
		*f = faults
	})
}

// changeFaults changes some faults of an instance and leaves the others. All faults of a run begin and end in one goroutine.
func (s *site) changeFaults(g int, name model.InstanceName, change func(*stand.DatabaseFaults)) {
	if s.databaseFaults == nil {
		s.databaseFaults = map[model.InstanceName]stand.DatabaseFaults{}
	}
	faults := s.databaseFaults[name]
	change(&faults)
	s.databaseFaults[name] = faults
	s.clusters[g].SetFaults(name, faults)
}
