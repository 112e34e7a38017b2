package step

// Names of fields of log lines that many lines carry.
const (
	attemptField  = "attempt"
	callField     = "call" // id of a reward call
	customerField = "customer"
	engineField   = "engine"
	itemField     = "item"
	stepField     = "step"
	whyField      = "why"
)
