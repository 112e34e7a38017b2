package idempotency

import (
	"cmp"
	"time"
)

// Defaults of Options.
const (
	defaultKeep           = 10 * time.Minute
	defaultMaxAnswerSize  = 64 << 10
	defaultMaxAnswersSize = 16 << 20
	defaultMaxKeys        = 1 << 16
	defaultSkew           = 2 * time.Second
)

// Options configure a Table. The zero value has usable defaults.
type Options struct {
	Endpoint       string        // endpoint whose keys the table holds
	Keep           time.Duration // how long a key is valid after its mint time; default 10m
	MaxAnswerSize  int           // bytes per recorded answer; default 64 KiB
	MaxAnswersSize int           // bytes of all recorded answers; default 16 MiB
	MaxKeys        int           // default 65,536
	Skew           time.Duration // maximum difference between two clocks; default 2s
	Started        time.Time     // start of the attendant; default the time of NewTable
}

// withDefaults returns the options with zero fields set to their defaults.
func (op Options) withDefaults() Options {
	op.Keep = cmp.Or(op.Keep, defaultKeep)
	op.MaxAnswerSize = cmp.Or(op.MaxAnswerSize, defaultMaxAnswerSize)
	op.MaxAnswersSize = cmp.Or(op.MaxAnswersSize, defaultMaxAnswersSize)
	op.MaxKeys = cmp.Or(op.MaxKeys, defaultMaxKeys)
	op.Skew = cmp.Or(op.Skew, defaultSkew)
	if op.Started.IsZero() {
		op.Started = time.Now()
	}
	return op
}
