package membership

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"wisteriacroft/instancelist"
)

// pollPerInstance makes the interval grow with the list, so that reading it
// costs a node less than 1 KB/s at any size. What one entry reads it tells the
// others at once, and there are more of them where the list is long.
const pollPerInstance = 150 * time.Millisecond

// A Poller reads the platform's list of instances again and again.
type Poller struct {
	Client *instancelist.Client
	// Interval is the mean time between two readings of a short list; default
	// DefaultPollInterval. Long lists are read less often.
	Interval time.Duration
	// Log is told when the list can't be read; may be nil.
	Log *logrus.Entry
	// ObserveFunc is told each list that was read.
	ObserveFunc func(ins []instancelist.Instance)
	// Rand spreads the readings of processes that start together; may be nil.
	Rand *rand.Rand
}

// Run reads until ctx ends. A list that can't be read changes nothing.
func (po *Poller) Run(ctx context.Context) {
	interval := cmp.Or(po.Interval, DefaultPollInterval)
	wait := po.upTo(startSpread)
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
			po.Log.WithError(err).Warn("read the instance list")
		}
		wait = interval/2 + po.upTo(interval)
	}
}

// upTo returns a random time below limit.
func (po *Poller) upTo(limit time.Duration) time.Duration {
	if po.Rand == nil {
		return rand.N(limit)
	}
	return time.Duration(po.Rand.Int64N(int64(limit)))
}
