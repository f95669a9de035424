package bench

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

const (
	controlMeasureTime  = 2500 * time.Millisecond
	controlStartupDelay = 1500 * time.Millisecond
	largeGroupCount     = 24

	// The size of the installation to which the figures are extrapolated, and the limits for each of its VMs: CPU time in cores, network
	// traffic in bytes per second and memory in bytes.
	targetVMs         = 930
	targetGroups      = 1400
	maxCoreShare      = 0.012
	maxBytesPerSecond = 12_000
	maxResidentBytes  = 32 << 20
)

var controlVMs = []int{3, 9, 21, 60, 120}

// controlPlaneCost measures what an idle Fleet costs each VM at several numbers of VMs and of groups, and extrapolates the costs to
// targetVMs and targetGroups. The CPU time includes that of the stand-ins, so it is an upper bound.
func controlPlaneCost(ctx context.Context, options Options) (Figures, []string, error) {
	figures := Figures{}
	var violations []string
	var rows []controlRow
	measure := func(vms, groups int) error {
		u, found, err := controlAt(ctx, options.Profile, vms, groups)
		if err != nil {
			return err
		}
		violations = append(violations, found...)
		rows = append(rows, controlRow{vms: float64(vms), groups: float64(groups), usage: u})
		label := fmt.Sprintf("At%dx%d", vms, groups)
		figures["CoreShare"+label] = u.coreShare
		figures["Bytes"+label] = u.bytesPerSecond
		figures["Resident"+label] = u.residentBytes
		figures["StoreReads"+label] = u.storeReadsPerSecond
		return nil
	}
	for _, vms := range controlVMs {
		if err := measure(vms, len(options.Profile.Groups)); err != nil {
			return nil, nil, err
		}
	}
	if err := measure(controlVMs[1], largeGroupCount); err != nil {
		return nil, nil, err
	}
	extrapolate(figures, rows)
	return figures, violations, nil
}

type controlRow struct {
	vms    float64
	groups float64
	usage
}

func controlAt(ctx context.Context, profile Profile, vms, groups int) (usage, []string, error) {
	profile.Entries = vms
	for len(profile.Groups) < groups {
		profile.Groups = append(profile.Groups[:len(profile.Groups):len(profile.Groups)], model.GroupName(fmt.Sprintf("More%d", len(profile.Groups))))
	}
	before := heapBytes()
	m := newMeter()
	fleet, err := StartFleet(ctx, FleetConfig{Profile: profile, Meter: m})
	if err != nil {
		return usage{}, nil, err
	}
	defer fleet.Close()
	time.Sleep(controlStartupDelay)
	u := measureIdle(fleet, m, controlMeasureTime)
	u.residentBytes -= before / float64(vms)
	return u, fleet.Violations(), nil
}

// extrapolate adds the costs for targetVMs and targetGroups to the figures. The cost grows with the number of VMs by the slope between
// the two largest numbers of VMs, and with the number of groups per VM by the slope between the two runs with controlVMs[1] VMs.
func extrapolate(figures Figures, rows []controlRow) {
	last, previous := rows[len(controlVMs)-1], rows[len(controlVMs)-2]
	fewGroups, manyGroups := rows[1], rows[len(rows)-1]
	project := func(of func(usage) float64) (value, perVM, perGroup float64) {
		perVM = max(0, (of(last.usage)-of(previous.usage))/(last.vms-previous.vms))
		perGroup = max(0, (of(manyGroups.usage)-of(fewGroups.usage))/(manyGroups.groups/manyGroups.vms-fewGroups.groups/fewGroups.vms))
		return of(last.usage) + perVM*(targetVMs-last.vms) + perGroup*(float64(targetGroups)/targetVMs-last.groups/last.vms), perVM, perGroup
	}
	set := func(name string, limit float64, of func(usage) float64) {
		value, perVM, perGroup := project(of)
		figures[name+"PerVm"], figures[name+"PerGroup"] = perVM, perGroup
		figures[name+"At930"], figures[name+"Stated"] = value, limit
	}
	set("CoreShare", maxCoreShare, func(u usage) float64 { return u.coreShare })
	set("Bytes", maxBytesPerSecond, func(u usage) float64 { return u.bytesPerSecond })
	set("Resident", maxResidentBytes, func(u usage) float64 { return u.residentBytes })
}

// heapBytes returns the heap and stack memory in use after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse + stats.StackInuse)
}
