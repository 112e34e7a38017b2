package step

// Names of fields of log lines that many lines carry.
const (
	attemptField = "attempt"
	callField    = "call" // id of a reward call
	engineField  = "engine"
	itemField    = "item"
	stepField    = "step"
	whyField     = "why"
)
