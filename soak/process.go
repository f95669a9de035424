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

// restartPause is how long after its end a process is started again.
const restartPause = 300 * time.Millisecond

// process is the daemon of one VM, which is started again whenever it ends.
type process struct {
	program  string
	settings platform.Settings
	path     string
	log      *os.File

	mu sync.Mutex
	// command is the running process, nil while there is none.
	command *exec.Cmd
	// expected tells that the soak ended the process, and stopped that it is not started again.
	expected, stopped bool
	// notBefore is when it may be started again.
	notBefore time.Time
	done      sync.WaitGroup
	// surprises are ends that the soak did not cause.
	surprises []string
}

func newProcess(program, dir string, settings platform.Settings) (*process, error) {
	body, err := platform.EncodeSettings(settings)
	if err != nil {
		return nil, err
	}
	p := &process{program: program, settings: settings, path: filepath.Join(dir, string(settings.VM)+".yaml")}
	if err := os.WriteFile(p.path, body, 0o600); err != nil {
		return nil, err
	}
	p.log, err = os.Create(filepath.Join(dir, string(settings.VM)+".log"))
	return p, err
}

// run keeps the process running until stop.
func (p *process) run() { p.done.Go(p.keep) }

func (p *process) keep() {
	for {
		command, ok := p.start()
		if !ok {
			return
		}
		err := command.Wait()
		p.mu.Lock()
		if !p.expected {
			p.surprises = append(p.surprises, string(p.settings.VM)+" ended by itself: "+errors.Newf("%v", err).Error())
		}
		p.command, p.expected = nil, false
		pause := max(restartPause, time.Until(p.notBefore))
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
	command := exec.Command(p.program, "--settings", p.path)
	command.Env = []string{platform.SettingsVariable + "=" + p.path}
	command.Stdout, command.Stderr = p.log, p.log
	if err := command.Start(); err != nil {
		p.surprises = append(p.surprises, string(p.settings.VM)+" did not start: "+err.Error())
		return nil, false
	}
	p.command = command
	return command, true
}

// signal sends a signal to the process, if it runs; away is how long after its end it stays away.
func (p *process) signal(signal syscall.Signal, away time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		p.expected, p.notBefore = true, time.Now().Add(away)
	}
	_ = p.command.Process.Signal(signal) // It may have ended just now.
}

// stop ends the process for good.
func (p *process) stop() {
	p.mu.Lock()
	p.stopped, p.expected = true, true
	if p.command != nil {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
	}
	p.mu.Unlock()
	p.done.Wait()
	_ = p.log.Close()
}
