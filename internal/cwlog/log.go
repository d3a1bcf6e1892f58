// Package cwlog makes the logger that all parts share: structured lines with
// the part's name as a prefix.
package cwlog

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// New returns a logger that writes to w from the given level up: debug, info
// or error.
func New(w io.Writer, level string) logr.Logger {
	levels := map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "error": slog.LevelError}

	return logr.FromSlogHandler(slog.NewTextHandler(w, &slog.HandlerOptions{Level: levels[level]}))
}
