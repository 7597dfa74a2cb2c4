// Package obs provides what operators observe: logs, counters and histograms.
package obs

import (
	"io"

	"github.com/hashicorp/go-hclog"
)

// NewLogger returns a logger that writes one key=value line an event to w. An
// empty level means info.
func NewLogger(w io.Writer, name, level string) hclog.Logger {
	l := hclog.LevelFromString(level)
	if l == hclog.NoLevel {
		l = hclog.Info
	}
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: l, Output: w})
}
