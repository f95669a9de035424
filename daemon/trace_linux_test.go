package main

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"runtime"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

const (
	// systemCall marks the stop of a traced thread before or after a system call.
	systemCall = unix.SIGTRAP | 0x80

	// actionDefault means that a signal ends the process.
	actionDefault action = "Default"
	// actionIgnored means that a signal does nothing.
	actionIgnored action = "Ignored"
	// actionHandled means that the process has a handler for a signal.
	actionHandled action = "Handled"
)

type (
	// action is what a signal does in a process.
	action string

	// trace is a process whose threads stop before and after each system call.
	trace struct {
		t       *testing.T
		program string
		process int
	}
)

// startTraced starts a command, which the calling goroutine traces until its test has ended, and returns it before its first instruction.
func startTraced(t *testing.T, program string, command *exec.Cmd) *trace {
	t.Helper()
	if _, err := os.ReadFile("/proc/self/syscall"); err != nil {
		t.Skipf("this kernel does not tell the system calls of a process: %v", err)
	}
	if signal.Ignored(unix.SIGHUP) {
		t.Skip("what runs this test ignores SIGHUP, and so do the processes that it starts")
	}
	runtime.LockOSThread() // Only the thread that starts a process traces it.
	t.Cleanup(runtime.UnlockOSThread)
	command.SysProcAttr = &unix.SysProcAttr{Ptrace: true}
	err := command.Start()
	if errors.Is(err, unix.EPERM) {
		t.Skipf("this machine lets no process trace another: %v", err)
	}
	require.NoError(t, err)
	p := &trace{t: t, program: program, process: command.Process.Pid}
	require.NoError(t, command.Process.Release()) // wait4 of the trace awaits it.
	p.awaitExec()
	require.NoError(t, unix.PtraceSetOptions(p.process, unix.PTRACE_O_TRACESYSGOOD|unix.PTRACE_O_TRACECLONE|unix.PTRACE_O_EXITKILL))
	return p
}

// wait waits for the next stop or end of a thread.
func (p *trace) wait() (thread int, status unix.WaitStatus) {
	p.t.Helper()
	for {
		thread, err := unix.Wait4(-1, &status, unix.WALL|unix.WNOTHREAD, nil)
		if err != unix.EINTR {
			require.NoError(p.t, err)
			return thread, status
		}
	}
}

// awaitExec waits until the process runs a new program, of which it has done nothing yet.
func (p *trace) awaitExec() {
	p.t.Helper()
	_, status := p.wait()
	require.True(p.t, status.Stopped())
	require.Equal(p.t, unix.SIGTRAP, status.StopSignal())
}

// finish runs the process until it has ended and returns how. It calls at, if set, in each stop before or after a system call.
func (p *trace) finish(at func(thread int)) unix.WaitStatus {
	p.t.Helper()
	require.NoError(p.t, unix.PtraceSyscall(p.process, 0))
	for {
		thread, status := p.wait()
		if status.Exited() || status.Signaled() {
			if thread == p.process {
				return status
			}
			continue
		}
		pass := status.StopSignal()
		switch pass {
		case systemCall:
			pass = 0
			if at != nil {
				at(thread)
			}
		case unix.SIGTRAP, unix.SIGSTOP: // A new thread.
			pass = 0
		}
		// The thread may have ended with its process just now.
		if err := unix.PtraceSyscall(thread, int(pass)); err != unix.ESRCH {
			require.NoError(p.t, err)
		}
	}
}

// reloadAction returns what SIGHUP does in the process.
func (p *trace) reloadAction() action {
	p.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.process))
	require.NoError(p.t, err)
	const reload = 1 << (unix.SIGHUP - 1)
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(line, ":")
		found, known := map[string]action{"SigIgn": actionIgnored, "SigCgt": actionHandled}[name]
		if !known {
			continue
		}
		mask, err := strconv.ParseUint(strings.TrimSpace(value), 16, 64)
		require.NoError(p.t, err)
		if mask&reload != 0 {
			return found
		}
	}
	return actionDefault
}

// inProgram reports whether a thread that stopped made its system call in the code of the program, not in that of the dynamic loader or a library.
func (p *trace) inProgram(thread int) bool {
	p.t.Helper()
	call, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%d/syscall", p.process, thread))
	require.NoError(p.t, err)
	fields := strings.Fields(string(call))
	at, err := strconv.ParseUint(fields[len(fields)-1], 0, 64)
	require.NoError(p.t, err)
	maps, err := os.ReadFile(fmt.Sprintf("/proc/%d/maps", p.process))
	require.NoError(p.t, err)
	for line := range strings.Lines(string(maps)) {
		var from, to uint64
		_, err := fmt.Sscanf(line, "%x-%x", &from, &to)
		require.NoError(p.t, err)
		if from <= at && at < to {
			return strings.HasSuffix(strings.TrimSpace(line), " "+p.program)
		}
	}
	return false
}
