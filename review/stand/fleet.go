package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// The ports are the same on all VMs, because each VM has a loopback address of its own.
const (
	frontPort   = 18465
	readyPort   = 18460
	controlPort = 18462
	firstPort   = 17560
	lastPort    = 17575
	metricsPort = 9464
)

type (
	// fleet holds the daemons of the system, one process a VM.
	fleet struct {
		record *record
		dir    string
		vms    []*vm
	}

	vm struct {
		name, zone, address string
		program, settings   string
		command             *exec.Cmd
		log                 *os.File
		ended               chan struct{}
	}
)

// freeAddresses returns loopback addresses at which all ports of a VM are free.
func freeAddresses(count int) ([]string, error) {
	for range 100 {
		a, b := 20+rand.IntN(200), rand.IntN(250)
		var found []string
		for n := 1; n <= count; n++ {
			address := fmt.Sprintf("127.%d.%d.%d", a, b, n)
			if portsFree(address) {
				found = append(found, address)
			}
		}
		if len(found) == count {
			return found, nil
		}
	}
	return nil, errors.New("no free loopback addresses")
}

func portsFree(address string) bool {
	for _, port := range []int{frontPort, readyPort, controlPort, firstPort, metricsPort} {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", address, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// startFleet starts one daemon in each of the zones.
func startFleet(daemon string, zones []string, storeAddr string, rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: rec, dir: dir}
	addresses, err := freeAddresses(len(zones))
	if err != nil {
		return f, err
	}
	for n, zone := range zones {
		v := &vm{name: fmt.Sprintf("front-%s-%d", zone, n+1), zone: zone, address: addresses[n]}
		v.program, v.settings = daemon, filepath.Join(dir, v.name+".yaml")
		if err := os.WriteFile(v.settings, []byte(settings(v, addresses, storeAddr)), 0o600); err != nil {
			return f, err
		}
		if v.log, err = os.Create(filepath.Join(dir, v.name+".log")); err != nil {
			return f, err
		}
		if err := v.start(rec); err != nil {
			return f, err
		}
		f.vms = append(f.vms, v)
	}
	return f, nil
}

// start starts the daemon of the VM.
func (v *vm) start(rec *record) error {
	v.ended = make(chan struct{})
	v.command = exec.Command(v.program)
	v.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CROCUSSHORE_CONFIG=" + v.settings}
	v.command.Stdout, v.command.Stderr = v.log, v.log
	if err := v.command.Start(); err != nil {
		return err
	}
	rec.add(v.name, "started, pid %d, at %s", v.command.Process.Pid, v.address)
	command, ended := v.command, v.ended
	go func() {
		err := command.Wait()
		rec.add(v.name, "process ended: %v", err)
		close(ended)
	}()
	return nil
}

// kill kills the daemon and waits for its end.
func (v *vm) kill(rec *record) error {
	rec.add(v.name, "signal: %v", syscall.SIGKILL)
	if err := v.command.Process.Kill(); err != nil {
		return err
	}
	<-v.ended
	return nil
}

// settings returns the settings file of a VM, in the format of the platform.
func settings(v *vm, addresses []string, storeAddr string) string {
	var seeds strings.Builder
	for _, address := range addresses {
		fmt.Fprintf(&seeds, "  - \"%s:%d\"\n", address, controlPort)
	}
	return fmt.Sprintf(`NodeName: "%s"
Role: "node"
MachineClass: "front"
Serves:
  - "front"
  - "control"
Ip: "%s"
Zone: "%s"
Region: "qc-centre"
Zones:
  qc-centre-a: "qc-centre"
  qc-centre-b: "qc-centre"
  qc-centre-c: "qc-centre"
Listen:
  Front: "%[2]s:%[4]d"
  Ready: "%[2]s:%[5]d"
  Control: "%[2]s:%[6]d"
PortRange:
  - %[7]d
  - %[8]d
Seeds:
%[9]sBootstrap: true
CountsAsLoss: false
Limits:
  CpuShare: 0.272
  Vcpus: 1
  RamMb: 206
  MaxFds: 3010
  NetMbps: 700.0
  DiskMb: 0
DataDir: null
Discovery: "platform"
Entry: "vip"
HeartbeatMs: 1200
Bounds:
  SeedLagS: 3
  AddrReuseS: 2
  ContactMs: 4000
  AckMs: 5000
  CatchUpS: 4
  DrainMs: 7000
  GraceS: 6
  LossSlackMs: 200
  ConfigApplyMs: 3000
  RollbackSlackMs: 250
  MaxSkewMs: 12000
  StrictRevoke: false
  RevokeMs: 5000
  QuotaWindowS: 5
  QuotaExcess: 0.1
  QuotaSlack: 20
  RecoveryS: 12
  RequireFence: false
  ThawMs: 300
platform:
  Addr: "%[10]s"
  form: "table"
  WritesPerS: 400
  ReadsPerS: 2000
  TxMs: 5.0
  PartWritesS: 200
  RowBytes: 65536
  Across: false
  HistoryS: 20
  BlobBytes: 8388608
  BlobMs: 25.0
  BlobMbS: 80.0
Cloud:
  Addr: "%[10]s"
  RatePerS: 50.0
  Duties:
    - "failover"
  DutyPerS: 50.0
`, v.name, v.address, v.zone, frontPort, readyPort, controlPort, firstPort, lastPort, seeds.String(), storeAddr)
}

// awaitReady waits until all VMs report that they are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, v := range f.vms {
			response, err := client.Get(fmt.Sprintf("http://%s:%d/crocusshore/readyz", v.address, readyPort))
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(f.vms) {
			return nil
		}
	}
	return errors.New("not all VMs became ready")
}

func (v *vm) signal(rec *record, signal syscall.Signal) {
	rec.add(v.name, "signal: %v", signal)
	_ = v.command.Process.Signal(signal)
}

// close ends all daemons and removes their settings and logs.
func (f *fleet) close() {
	for _, v := range f.vms {
		_ = v.command.Process.Signal(syscall.SIGCONT) // It may have ended before.
		_ = v.command.Process.Kill()
		<-v.ended
		_ = v.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("settings and logs are kept in", f.dir)
	}
}
