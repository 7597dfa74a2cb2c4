// Package obs provides the logs, counters, latency histograms and records of
// recent requests that operators see.
package obs

import (
	"io"

	"github.com/hashicorp/go-hclog"
)

// NewLogger returns a logger that writes one line with key=value pairs per event
// to w. An empty or unknown level means info.
func NewLogger(w io.Writer, name, level string) hclog.Logger {
	l := hclog.LevelFromString(level)
	if l == hclog.NoLevel {
		l = hclog.Info
	}
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: l, Output: w})
}
