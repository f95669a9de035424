package sock

import (
	"syscall"

	"github.com/cockroachdb/errors"
)

// Idle reports whether a connected socket is open and has nothing to read, not even the end of the stream.
func Idle(raw syscall.RawConn) bool {
	idle := false
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && idle
}
