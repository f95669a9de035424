package serve

import "time"

// sleep pauses a statement that waits for an instance, and counts the pause.
func (s *Server) sleep(pause time.Duration) {
	s.config.Metrics.Counter("pauses").Inc(1)
	time.Sleep(pause)
}
