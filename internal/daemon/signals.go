package daemon

import (
	"os"
	"os/signal"
	"syscall"
)

// signals are those that came and were not answered yet, one of each sort: a second one says nothing new, and
// many of one sort keep none of another out.
type signals struct{ count, reload, end chan os.Signal }

// listen takes the process's signals from now on.
func listen() *signals {
	s := &signals{make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(s.count, syscall.SIGUSR1)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.end, syscall.SIGTERM, syscall.SIGINT)
	return s
}

func (s *signals) stop() {
	signal.Stop(s.count)
	signal.Stop(s.reload)
	signal.Stop(s.end)
}
