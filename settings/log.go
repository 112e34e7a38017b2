package settings

// A LogFormat is the format of log lines.
type LogFormat string

// The log formats.
const (
	JSONLog LogFormat = "json"
	TextLog LogFormat = "text"
)

// A Log holds the settings of a process's log.
type Log struct {
	format LogFormat
	level  string
}

// Format returns the format of log lines.
func (lo Log) Format() LogFormat { return lo.format }

// Level returns the minimum level that is logged, by its logrus name.
func (lo Log) Level() string { return lo.level }
