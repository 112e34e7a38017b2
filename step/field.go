package step

// Names of fields of log lines that many lines carry.
const (
	engineField = "engine"
	itemField   = "item"
	stepField   = "step"
)
