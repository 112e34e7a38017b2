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

// Options are the fixed settings of a Table. The zero value has usable
// defaults.
type Options struct {
	Endpoint       string        // the endpoint that the table stands before
	Keep           time.Duration // how long after its mint time a key is served; default 10m
	MaxAnswerSize  int           // bytes of one recorded answer; default 64 KB
	MaxAnswersSize int           // bytes of all recorded answers; default 16 MB
	MaxKeys        int           // default 65,536
	Skew           time.Duration // how far two clocks may be apart; default 2s
	Started        time.Time     // when the attendant started; default when the table was made
}

// withDefaults returns the options with their defaults filled in.
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
