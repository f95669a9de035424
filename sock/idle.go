package sock

import (
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Idle reports whether a connected socket is open and has nothing to read, not even the end of the stream.
func Idle(raw syscall.RawConn) bool {
	return errors.Is(peek(raw), syscall.EAGAIN)
}

// Readable reports whether a connected socket is open and has something to read, or the end of the stream.
func Readable(raw syscall.RawConn) bool { return peek(raw) == nil }

// peek looks at the next byte without waiting for it; the error is EAGAIN if there is none.
func peek(raw syscall.RawConn) error {
	var result error
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, result = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return err
	}
	return result
}

// ConnectionWaits reports whether a connection waits at a listening socket to be accepted.
func ConnectionWaits(raw syscall.RawConn) bool {
	waits := false
	err := raw.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		waits = err == nil && n > 0
	})
	return err == nil && waits
}
