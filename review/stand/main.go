// Command stand plays the cases of the review: it starts the daemon as separate processes and stands in for the platform's store, the
// instances, the operator and the requesters, all on loopback.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	service = "huvo11a"
	key     = "u3f1"
	tenant  = "tenant-1"

	// The databases of the three kinds of route.
	primaryDB, boundedDB, sessionDB = "lepu270", "xapu221", "fiti832"

	exitHeld, exitBroken, exitImpossible = 0, 1, 2

	// workTime is how long a statement occupies a slot of an instance.
	workTime = 12 * time.Millisecond

	// runLimit ends a run that takes too long.
	runLimit = 110 * time.Second
)

var zones = []string{"qc-centre-a", "qc-centre-b", "qc-centre-c"}

// world is all that a case plays in.
type world struct {
	record  *record
	store   *store
	cluster *cluster
	fleet   *fleet
	// trouble is false if the case is to be played without its disruption.
	trouble bool
}

// cases maps the name of a case to its function, which returns whether the rule was broken.
var cases = map[string]func(w *world) (bool, error){
	"restarted-replica":   restartedReplica,
	"late-registrations":  lateRegistrations,
	"stopped-with-caller": stoppedWithCaller,
	"line-feed":           lineFeed,
}

func main() {
	name := flag.String("case", "", "the case to play")
	dir := flag.String("dir", "", "the folder for record.txt")
	daemon := flag.String("daemon", "target/daemon", "the program to start")
	vms := flag.Int("vms", len(zones), "how many VMs to start")
	flag.Parse()
	os.Exit(play(*name, *dir, *daemon, *vms))
}

func play(name, dir, daemon string, vms int) int {
	run, known := cases[name]
	if !known {
		fmt.Println("unknown case", name)
		return exitImpossible
	}
	rec, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return exitImpossible
	}
	w := &world{record: rec, trouble: os.Getenv("TROUBLE") != "0"}
	rec.add("case", "%s, trouble=%v", name, w.trouble)
	err = w.start(daemon, vms)
	if w.fleet != nil {
		defer w.fleet.close()
	}
	if err != nil {
		return w.conclude(false, err)
	}
	type result struct {
		broken bool
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := run(w)
		results <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case r := <-results:
		return w.conclude(r.broken, r.err)
	case got := <-signals:
		return w.conclude(false, fmt.Errorf("stopped by signal %v", got))
	case <-time.After(runLimit):
		return w.conclude(false, errors.New("the run took too long"))
	}
}

func (w *world) conclude(broken bool, err error) int {
	switch {
	case err != nil:
		w.record.add("case", "not possible: %v", err)
		fmt.Println("the case could not run:", err)
		return exitImpossible
	case broken:
		w.record.add("case", "the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	default:
		w.record.add("case", "the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
}

// start starts the stand-ins and the daemons and waits until all of them serve.
func (w *world) start(daemon string, vms int) error {
	var err error
	if w.store, err = newStore(w.record); err != nil {
		return err
	}
	if w.cluster, err = newCluster(service, zones, w.store, w.record, workTime); err != nil {
		return err
	}
	w.store.promote = func(name, id, _, _ string) int {
		if name != service {
			return 409
		}
		return w.cluster.promote(id)
	}
	w.store.put("op", "config", config(1, key))
	time.Sleep(200 * time.Millisecond)
	var at []string
	for n := range vms {
		at = append(at, zones[n%len(zones)])
	}
	if w.fleet, err = startFleet(daemon, at, w.store.addr, w.record); err != nil {
		return err
	}
	if err := w.fleet.awaitReady(15 * time.Second); err != nil {
		return err
	}
	return w.awaitWrites(15 * time.Second)
}

// awaitWrites waits until a write succeeds through each VM.
func (w *world) awaitWrites(limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		served := 0
		for n, v := range w.fleet.vms {
			c, err := open(w.record, "probe", v, primaryDB, key)
			if err != nil {
				break
			}
			a, err := c.query(newID(), fmt.Sprintf("WRITE probe%d x", n))
			c.close()
			if err == nil && a.fault == "" {
				served++
			}
		}
		if served == len(w.fleet.vms) {
			return nil
		}
	}
	return errors.New("not all VMs serve writes")
}

// config returns the operator's settings with the given keys of the tenant.
func config(version int, keys ...string) map[string]any {
	route := func(name, database, kind string, timeout, target, priority int, staleness any) map[string]any {
		r := map[string]any{
			"Name": name, "Host": database, "Prefix": "/", "Type": kind, "TimeoutMs": timeout, "TargetLatencyMs": target, "Priority": priority,
			"Service": service, "MaxAttempts": 2, "Public": false,
		}
		if staleness != nil {
			r["MaxStalenessMs"] = staleness
		}
		return r
	}
	return map[string]any{
		"Version": version,
		"Routes": []any{
			route("r-1", boundedDB, "bounded", 2000, 500, 2, 1500),
			route("r-2", primaryDB, "primary", 800, 150, 1, nil),
			route("r-3", sessionDB, "read_your_writes", 800, 250, 2, 2500),
		},
		"Services": []any{map[string]any{"Name": service, "HealthPath": "/healthz", "MaxConns": maxConns, "Proto": "h1", "Tls": false, "SyncReplicas": 1}},
		"Limits":   map[string]any{"TxIdleMs": 8000},
		"Tenants":  []any{map[string]any{"Name": tenant, "ApiKeys": keys, "RatePerS": 2000, "Burst": 2000}},
	}
}
