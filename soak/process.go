package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/platform"
)

// restartDelay is the minimum time between the end of a process and its next start.
const restartDelay = 300 * time.Millisecond

// process runs the daemon of one VM and starts it again whenever it ends.
type process struct {
	program      string
	settings     platform.Settings
	settingsPath string
	log          *os.File

	mu sync.Mutex
	// command is the running process, nil while there is none.
	command *exec.Cmd
	// endExpected is true once the soak has ended the process, until it is started again. stopped is true once it must not be started
	// again.
	endExpected, stopped bool
	// notBefore is the earliest time of the next start.
	notBefore time.Time
	// stoppedAt is when the process, or its predecessor, last got SIGTERM.
	stoppedAt time.Time
	done      sync.WaitGroup
	// paused is active between SIGSTOP and SIGCONT.
	paused interruption
	// failures holds the ends that the soak did not cause, and failed starts.
	failures []string
}

// newProcess writes the settings file and creates the log file; the process is started by run.
func newProcess(program, dir string, settings platform.Settings) (*process, error) {
	body, err := platform.EncodeSettings(settings)
	if err != nil {
		return nil, err
	}
	p := &process{program: program, settings: settings, settingsPath: filepath.Join(dir, string(settings.VM)+".yaml")}
	if err := os.WriteFile(p.settingsPath, body, 0o600); err != nil {
		return nil, err
	}
	p.log, err = os.Create(filepath.Join(dir, string(settings.VM)+".log"))
	return p, err
}

// run keeps the process running until stop is called or a start fails.
func (p *process) run() { p.done.Go(p.supervise) }

func (p *process) supervise() {
	for {
		command, ok := p.start()
		if !ok {
			return
		}
		err := command.Wait()
		p.mu.Lock()
		if !p.endExpected {
			p.failures = append(p.failures, string(p.settings.VM)+" ended by itself: "+errors.Newf("%v", err).Error())
		}
		p.command, p.endExpected = nil, false
		pause := max(restartDelay, time.Until(p.notBefore))
		p.mu.Unlock()
		time.Sleep(pause)
	}
}

func (p *process) start() (*exec.Cmd, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil, false
	}
	command := exec.Command(p.program, "--settings", p.settingsPath)
	command.Env = []string{platform.SettingsVariable + "=" + p.settingsPath}
	command.Stdout, command.Stderr = p.log, p.log
	if err := command.Start(); err != nil {
		p.failures = append(p.failures, string(p.settings.VM)+" did not start: "+err.Error())
		return nil, false
	}
	p.command = command
	p.paused.set(false, time.Now())
	return command, true
}

// signal sends a signal to the process, if it runs, and SIGHUP only if the process hears it. A process ended by SIGKILL or SIGTERM is not started again before downtime has passed.
func (p *process) signal(signal syscall.Signal, downtime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || (signal == syscall.SIGHUP && !hearsReload(p.command.Process.Pid)) {
		return
	}
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		p.endExpected, p.notBefore = true, time.Now().Add(downtime)
	}
	if signal == syscall.SIGTERM {
		p.stoppedAt = time.Now()
	}
	_ = p.command.Process.Signal(signal) // It may have ended just now.
	if signal == syscall.SIGSTOP || signal == syscall.SIGCONT {
		p.paused.set(signal == syscall.SIGSTOP, time.Now())
	}
}

// restart sends SIGTERM to the process, unless it is ending already, and SIGKILL once the grace period is over.
func (p *process) restart() {
	p.mu.Lock()
	command, ending := p.command, p.endExpected
	p.mu.Unlock()
	if command == nil || ending {
		return
	}
	p.signal(syscall.SIGTERM, 0)
	time.AfterFunc(p.settings.Grace, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.command == command && !p.stopped {
			p.failures = append(p.failures, string(p.settings.VM)+" ran for all of its grace period")
			_ = command.Process.Kill() // It may have ended just now.
		}
	})
}

// lastStop returns when the process, or its predecessor, last got SIGTERM; zero if never.
func (p *process) lastStop() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stoppedAt
}

// changeFile replaces the settings file by one with changes to the settings that the process first had.
func (p *process) changeFile(change func(*platform.Settings)) error {
	changed := p.settings
	change(&changed)
	body, err := platform.EncodeSettings(changed)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.settingsPath+".new", body, 0o600); err != nil {
		return err
	}
	return os.Rename(p.settingsPath+".new", p.settingsPath)
}

// stop kills the process, waits for its end and does not start it again.
func (p *process) stop() {
	p.mu.Lock()
	p.stopped, p.endExpected = true, true
	if p.command != nil {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
	}
	p.mu.Unlock()
	p.done.Wait()
	_ = p.log.Close()
}
