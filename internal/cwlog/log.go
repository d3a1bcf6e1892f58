// Package cwlog creates the logger that all parts of the process share. A line starts with
// the name of the part, followed by the time, the level, a short sentence and its values in
// the format of log/slog's text handler:
//
//	config: time=... level=INFO msg="New configuration in force." revision=7
package cwlog

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"reflect"
	"strings"
	"sync"

	"github.com/go-logr/logr"
)

// defaultName is the prefix of lines of a logger without a name.
const defaultName = "carobward"

// nameKey is the key under which logr passes the name of a logger.
const nameKey = "logger"

// New returns a logger that writes to w. The minimum level is debug, info or error.
func New(w io.Writer, level string) logr.Logger {
	levels := map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "error": slog.LevelError}
	line := &line{to: w}

	return logr.FromSlogHandler(&handler{
		Handler: slog.NewTextHandler(&line.buffer, &slog.HandlerOptions{Level: levels[level], ReplaceAttr: replace}),
		line:    line,
	})
}

// maxValueBytes is the maximum size of one value in a line. Values may come from other writers.
const maxValueBytes = 16 << 10

// replace changes values for the output.
func replace(groups []string, a slog.Attr) slog.Attr { return shorten(plainLevel(groups, a)) }

// shorten cuts a text that is too long, and adds its size.
func shorten(a slog.Attr) slog.Attr {
	if text := textOf(a.Value); len(text) > maxValueBytes {
		a.Value = slog.StringValue(fmt.Sprintf("%s... (%d bytes)", strings.ToValidUTF8(text[:maxValueBytes], ""), len(text)))
	}

	return a
}

// textOf returns the text of a value, if it is one that may be long.
func textOf(v slog.Value) string {
	switch v.Kind() {
	case slog.KindString:
		return v.String()
	case slog.KindAny:
		if err, ok := v.Any().(error); ok {
			return err.Error()
		}

		if r := reflect.ValueOf(v.Any()); r.Kind() == reflect.String { // A named type, such as that of an id.
			return r.String()
		}
	}

	return ""
}

// plainLevel shows logr's verbosity levels as DEBUG.
func plainLevel(groups []string, a slog.Attr) slog.Attr {
	if level, ok := a.Value.Any().(slog.Level); ok && len(groups) == 0 && a.Key == slog.LevelKey && level < slog.LevelInfo {
		a.Value = slog.StringValue(slog.LevelDebug.String())
	}

	return a
}

// line is the line that is being written.
type line struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
	to     io.Writer
}

// handler writes the logger's name at the start of the line.
type handler struct {
	slog.Handler

	line *line
}

// Handle writes one line with a single call of the writer.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	prefix := defaultName
	rest := slog.NewRecord(r.Time, r.Level, r.Message, r.PC)

	r.Attrs(func(a slog.Attr) bool {
		if a.Key == nameKey {
			prefix = a.Value.String()
		} else {
			rest.AddAttrs(a)
		}

		return true
	})

	h.line.mutex.Lock()
	defer h.line.mutex.Unlock()

	h.line.buffer.Reset()
	h.line.buffer.WriteString(prefix + ": ")

	if err := h.Handler.Handle(ctx, rest); err != nil {
		return err
	}

	_, err := h.line.to.Write(h.line.buffer.Bytes())

	return err
}

// WithAttrs returns a handler that adds values to each line.
func (h *handler) WithAttrs(values []slog.Attr) slog.Handler {
	return &handler{Handler: h.Handler.WithAttrs(values), line: h.line}
}

// WithGroup returns a handler that adds the values to a group.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{Handler: h.Handler.WithGroup(name), line: h.line}
}
