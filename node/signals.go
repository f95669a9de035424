package node

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals are the signals that a node obeys; the zero value brings none. Each channel keeps one, so that none is lost while the node is at
// work.
type Signals struct {
	// Stop brings orders to stop, and Reload announcements that the settings file has changed.
	Stop, Reload <-chan os.Signal
}

// ReceiveSignals receives the signals of the process from now on; before, each of them would end it.
func ReceiveSignals() Signals {
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	return Signals{Stop: stop, Reload: reload}
}
