package sock

import (
	"syscall"

	"github.com/cockroachdb/errors"
)

// Idle tells whether a connected socket is open with nothing to read, not even its end.
func Idle(raw syscall.RawConn) bool {
	idle := false
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && idle
}
