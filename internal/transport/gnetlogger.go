package transport

import (
	"fmt"
	"log/slog"
)

// gnetLogger adapts a slog.Logger to gnet. Warnings and errors of gnet are logged at debug level, since this package
// reports failures itself; debug and info messages of gnet are dropped.
type gnetLogger struct{ log *slog.Logger }

func (g gnetLogger) Debugf(string, ...any) {}
func (g gnetLogger) Infof(string, ...any)  {}

func (g gnetLogger) Warnf(format string, args ...any)  { g.log.Debug(fmt.Sprintf(format, args...)) }
func (g gnetLogger) Errorf(format string, args ...any) { g.log.Debug(fmt.Sprintf(format, args...)) }
func (g gnetLogger) Fatalf(format string, args ...any) { g.log.Error(fmt.Sprintf(format, args...)) }
