package early

import (
	"os"
	"os/signal"
	"syscall"
)

var (
	// Stop brings orders to stop. It keeps one, so that none is lost while the process is at work.
	Stop = receive(syscall.SIGTERM, syscall.SIGINT)
	// Reload brings announcements that the settings file has changed; it keeps one.
	Reload = receive(syscall.SIGHUP)
)

func receive(signals ...os.Signal) <-chan os.Signal {
	received := make(chan os.Signal, 1)
	signal.Notify(received, signals...)
	return received
}
