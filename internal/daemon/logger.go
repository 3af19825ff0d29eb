package daemon

import (
	"io"
	"log/slog"

	"grebeglade/config"
)

// NewLogger returns a logger that writes to w with the configured level and format. An unknown level is treated as
// "info".
func NewLogger(c config.Log, w io.Writer) *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.Level)); err != nil {
		level = slog.LevelInfo
	}
	options := &slog.HandlerOptions{Level: level}
	if c.Format == config.LogFormatJSON {
		return slog.New(slog.NewJSONHandler(w, options))
	}
	return slog.New(slog.NewTextHandler(w, options))
}
