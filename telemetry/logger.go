// Package telemetry sets up a process's logs, metrics, health pages and traces.
package telemetry

import (
	"io"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/settings"
)

// NewLogger returns a logger that writes to out, with the level and format of the
// settings.
func NewLogger(lo settings.Log, out io.Writer) (*logrus.Logger, error) {
	level, err := logrus.ParseLevel(lo.Level())
	if err != nil {
		return nil, errors.Wrap(err, "log.level")
	}
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(level)
	if lo.Format() == settings.JSONLog {
		logger.SetFormatter(&logrus.JSONFormatter{})
	} else {
		logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	}
	return logger, nil
}
