package settings

// A Trace holds the settings of tracing. The zero Trace turns tracing off.
type Trace struct {
	file        string
	otlpAddress string
	ratio       float64
}

// File returns the path of the file for spans as lines of JSON, or "".
func (tr Trace) File() string { return tr.file }

// OTLPAddress returns the base URL of the OTLP/HTTP collector, or "".
func (tr Trace) OTLPAddress() string { return tr.otlpAddress }

// Ratio returns the fraction of traces that are sampled, from 0 to 1.
func (tr Trace) Ratio() float64 { return tr.ratio }
