package logs

import (
	"io"

	"github.com/charmbracelet/log"
)

// ringSize bounds the lines that wait for a slow reader of the output.
const ringSize = 2048

// New returns a logger that writes key=value lines with values of bounded length through a ring buffer, and the ring, which has to be closed at
// the end.
func New(out io.Writer, level string) (*log.Logger, *Ring, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, nil, err
	}
	ring := NewRing(out, ringSize)
	logger := log.NewWithOptions(CutValues(ring), log.Options{
		Level: parsed, ReportTimestamp: true, TimeFormat: "15:04:05.000", Formatter: log.LogfmtFormatter,
	})
	return logger, ring, nil
}
