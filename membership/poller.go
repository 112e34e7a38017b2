package membership

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"wisteriacroft/instancelist"
)

// pollPerInstance is the interval per listed instance: a longer list is read less often, to
// bound the bandwidth of reading it.
const pollPerInstance = 150 * time.Millisecond

// A Poller reads the platform's list of instances periodically.
type Poller struct {
	Client *instancelist.Client
	// Interval is the mean time between reads of a short list; default DefaultPollInterval.
	// Long lists are read less often.
	Interval time.Duration
	// Log is optional.
	Log *logrus.Entry
	// ObserveFunc handles each list that was read.
	ObserveFunc func(ins []instancelist.Instance)
	// Rand is the source of jitter; nil means the default one.
	Rand *rand.Rand
}

// Run polls until ctx ends. Failed reads are logged and retried after the interval.
func (po *Poller) Run(ctx context.Context) {
	interval := cmp.Or(po.Interval, DefaultPollInterval)
	wait := po.jitter(startupJitter)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		if ins, err := po.Client.ListFunc(ctx); err == nil {
			po.ObserveFunc(ins)
			interval = max(cmp.Or(po.Interval, DefaultPollInterval), time.Duration(len(ins))*pollPerInstance)
		} else if po.Log != nil {
			po.Log.WithError(err).Warn("cannot read the instance list")
		}
		wait = interval/2 + po.jitter(interval)
	}
}

// jitter returns a random duration below limit.
func (po *Poller) jitter(limit time.Duration) time.Duration {
	if po.Rand == nil {
		return rand.N(limit)
	}
	return time.Duration(po.Rand.Int64N(int64(limit)))
}
