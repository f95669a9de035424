package soak

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
)

// hearsReload reports whether a process handles or ignores SIGHUP. Until it does, the signal ends it, before any code of the program can run; daemon
// has a test of that. A process that has not come so far reads its settings afterwards.
func hearsReload(process int) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process))
	if err != nil {
		return false
	}
	const reload = 1 << (syscall.SIGHUP - 1)
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(line, ":")
		if name != "SigIgn" && name != "SigCgt" {
			continue
		}
		mask, err := strconv.ParseUint(strings.TrimSpace(value), 16, 64)
		if err == nil && mask&reload != 0 {
			return true
		}
	}
	return false
}
