package verb

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
)

// signalBacklog is the number of signals that may arrive before the logger of a host has been set up.
const signalBacklog = 8

// notifySignals returns a channel that receives the signals to stop and SIGHUP, for the rest of the process. While it does, none
// of them ends the process, so that a host finishes its drain however often it is told to stop: supervisors repeat a signal, and
// what is sent to a process group arrives once more. SIGQUIT and SIGKILL end a host at once.
func notifySignals() <-chan os.Signal {
	// A write to standard output or standard error whose reader is gone would end the process otherwise.
	signal.Ignore(syscall.SIGPIPE)
	signals := make(chan os.Signal, signalBacklog)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	return signals
}

// handleSignals logs the signals of a host and calls hangup at each SIGHUP. The first signal to stop starts the drain by ending
// the context of main.
func handleSignals(signals <-chan os.Signal, logger *log.Logger, hangup func()) {
	draining := false
	for received := range signals {
		switch {
		case received == syscall.SIGHUP:
			hangup()
		case draining:
			logger.Warn("received a signal to stop during the drain, which goes on", "Signal", received)
		default:
			draining = true
			logger.Info("received a signal to stop", "Signal", received)
		}
	}
}
