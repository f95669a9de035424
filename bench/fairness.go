package bench

import (
	"context"
	"slices"
	"time"

	"github.com/crocusshore/crocusshore/load"
	"github.com/crocusshore/crocusshore/model"
)

const (
	fairnessTime    = 12 * time.Second
	fairServiceTime = 20 * time.Millisecond
	// fairLightLoad and fairHeavyLoad are the rates of the teams, as multiples of their fair share of the capacity.
	fairLightLoad = 0.8
	fairHeavyLoad = 5
	fairDeadline  = 1500 * time.Millisecond
	overloadTime  = 8 * time.Second
	// overloadFactor is the rate of all teams in the overloaded run, as a multiple of the capacity.
	overloadFactor = 5
	// fairSessions is the number of sessions of each team.
	fairSessions = 400
)

// fairness measures the service of the worst-served team on one primary while another team sends five times its
// fair share, and the goodput when all teams together send five times the capacity. The baseline serves the same
// requests in the order in which they were sent.
func fairness(ctx context.Context, options Options) (Figures, []string, error) {
	profile := options.Profile
	profile.Groups = profile.Groups[:1]
	profile.ServiceTime = fairServiceTime
	for i := range profile.Teams {
		profile.Teams[i] = TeamProfile{Name: profile.Teams[i].Name, Rate: 1e5, Burst: 1e5, LoadWeight: 1}
	}
	fleet, err := StartFleet(ctx, FleetConfig{Profile: profile})
	if err != nil {
		return nil, nil, err
	}
	defer fleet.Close()
	capacity := float64(profile.Slots) / fairServiceTime.Seconds()
	share := capacity / float64(len(profile.Teams))
	samples := newSampleLog()
	config := fleet.LoadConfig(options.Seed, 1, 0)
	config.Sessions, config.Deadline, config.Observe = fairSessions, fairDeadline, samples.observe
	config.Route = func(_ model.TeamName, group model.GroupName, _ bool) model.RouteName {
		return RouteOf(KindFresh, group)
	}
	for i := range config.Teams {
		config.Teams[i].Rate = share * fairLightLoad
	}
	config.Teams[0].Rate = share * fairHeavyLoad
	runner := runFor(ctx, config, options.timeOr(fairnessTime))
	figures := Figures{
		"WorstLightShare":     worstServedShare(config.Teams[1:], samples, capacity, isDone),
		"WorstTeamShare":      worstServedShare(config.Teams, samples, capacity, isDone),
		"NaiveWorstTeamShare": worstServedShare(config.Teams, samples, capacity, servedFIFO(samples, profile.Slots)),
		"Goodput":             float64(runner.Tally().Done) / options.timeOr(fairnessTime).Seconds(),
		"Capacity":            capacity,
	}
	for i := range config.Teams {
		config.Teams[i].Rate = share * overloadFactor
	}
	config.Observe, config.Prefix = nil, "overload-"
	overloaded := runFor(ctx, config, options.timeOr(overloadTime))
	figures["GoodputAt5x"] = float64(overloaded.Tally().Done) / options.timeOr(overloadTime).Seconds()
	violations := append(runner.Violations().List(), overloaded.Violations().List()...)
	return figures, append(violations, fleet.Violations()...), nil
}

func runFor(ctx context.Context, config load.Config, d time.Duration) *load.Runner {
	runner := load.New(config)
	runCtx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	runner.Run(runCtx)
	return runner
}

// worstServedShare returns the served share of the worst-served team. The share is relative to what the team could expect: all its
// requests, or its fair share of the capacity if that is less.
func worstServedShare(teams []load.Team, samples *sampleLog, capacity float64, served func(load.Sample) bool) float64 {
	requested := map[model.TeamName]float64{}
	servedCount := map[model.TeamName]float64{}
	for _, team := range teams {
		for _, sample := range samples.of(team.Name) {
			requested[team.Name]++
			if served(sample) {
				servedCount[team.Name]++
			}
		}
	}
	elapsed := sendSpan(teams, samples)
	fair := fairShare(requested, capacity*elapsed.Seconds())
	worst := 1.0
	for _, team := range teams {
		worst = min(worst, servedCount[team.Name]/min(requested[team.Name], fair))
	}
	return worst
}

// sendSpan returns the time between the first and the last request of the teams.
func sendSpan(teams []load.Team, samples *sampleLog) time.Duration {
	var first, last time.Time
	for _, team := range teams {
		for _, sample := range samples.of(team.Name) {
			if first.IsZero() || sample.SentAt.Before(first) {
				first = sample.SentAt
			}
			if sample.SentAt.After(last) {
				last = sample.SentAt
			}
		}
	}
	return last.Sub(first)
}

// fairShare returns the max-min fair share of a capacity: each team gets its demand up to this share, and together they get no more
// than the capacity.
func fairShare(demand map[model.TeamName]float64, capacity float64) float64 {
	demands := make([]float64, 0, len(demand))
	for _, requested := range demand {
		demands = append(demands, requested)
	}
	slices.Sort(demands)
	for i, requested := range demands {
		share := capacity / float64(len(demands)-i)
		if requested > share {
			return share
		}
		capacity -= requested
	}
	return capacity + demands[len(demands)-1]
}

func isDone(sample load.Sample) bool { return sample.Answer.Refusal == nil }

// servedFIFO replays the requests through one queue in the order in which they were sent, with the same slots and deadline, and
// returns a function that reports whether a request was served.
func servedFIFO(samples *sampleLog, slots int) func(load.Sample) bool {
	var all []load.Sample
	samples.mu.Lock()
	for _, list := range samples.samples {
		all = append(all, list...)
	}
	samples.mu.Unlock()
	slices.SortFunc(all, func(a, b load.Sample) int { return a.SentAt.Compare(b.SentAt) })
	freeAt := make([]time.Time, slots)
	served := map[time.Time]bool{}
	for _, sample := range all {
		slices.SortFunc(freeAt, time.Time.Compare)
		start := sample.SentAt
		if freeAt[0].After(start) {
			start = freeAt[0]
		}
		if start.Add(fairServiceTime).Sub(sample.SentAt) > fairDeadline {
			continue
		}
		freeAt[0] = start.Add(fairServiceTime)
		served[sample.SentAt] = true
	}
	return func(sample load.Sample) bool { return served[sample.SentAt] }
}
