package step

// Names of common log fields.
const (
	attemptField  = "attempt"
	callField     = "call" // ID of a reward call
	customerField = "customer"
	engineField   = "engine"
	itemField     = "item"
	stepField     = "step"
	whyField      = "why"
)
