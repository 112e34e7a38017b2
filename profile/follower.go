package profile

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"
)

// Pace of a Follower.
const (
	// DefaultRewatchInterval is how long a watch waits before the value is read anew. A
	// watch that went silent for good costs that long at most, which is within
	// the time in which a change must be in force.
	DefaultRewatchInterval = 10 * time.Second

	followBackoff     = 500 * time.Millisecond
	mostFollowBackoff = 5 * time.Second
	rearmJitter       = 0.2
)

// A Follower brings what the service accepts into a Replica. Entries run one;
// attendants learn from entries, which spares the service their watches.
type Follower struct {
	Holder *Replica
	Log    *logrus.Entry // nil: logs nothing
	Rand   *rand.Rand    // nil: no jitter
	Rearm  time.Duration // default DefaultRewatchInterval
	Store  *Store

	failing bool
}

// Run follows until ctx ends.
func (fo *Follower) Run(ctx context.Context) {
	fo.Holder.keepLineage()
	backoff := followBackoff
	for ctx.Err() == nil {
		err := fo.round(ctx)
		fo.logChange(ctx, err)
		if err == nil {
			backoff = followBackoff
			continue
		}
		sleep(ctx, fo.jitter(backoff))
		backoff = min(2*backoff, mostFollowBackoff)
	}
}

// round reads the value once and then watches it for a while. The read finds
// what a watch missed, also a version that went down.
func (fo *Follower) round(ctx context.Context) error {
	sd, err := fo.Store.readWithin(ctx, callTimeout)
	if err != nil {
		return err
	}
	if err := fo.settle(ctx, sd); err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, fo.jitter(fo.rearm()))
	defer cancel()
	sd, err = fo.Store.Watch(limited, sd.Version)
	if limited.Err() != nil {
		return nil // nothing changed, or the watch is silent: read again
	}
	if err != nil {
		return err
	}
	if err := fo.settle(ctx, sd); err != nil {
		return err
	}
	if sd.Version == 0 {
		// The key was deleted and nothing is held to put back. The watch would
		// answer this at once each time, and the service be called without end.
		sleep(ctx, fo.jitter(mostFollowBackoff))
	}
	return nil
}

// settle takes what the service holds, after putting back what it has lost.
func (fo *Follower) settle(ctx context.Context, sd VersionedDocument) error {
	fo.Holder.RecordContact(FromService, time.Now())
	do, err := fo.Store.Reconcile(ctx, fo.Holder.Current(), sd)
	if err != nil {
		return err
	}
	if fo.Holder.Offer(do, FromService) {
		fo.log().WithField("revision", do.revision).Info("profiles in force")
	}
	return nil
}

func (fo *Follower) rearm() time.Duration {
	if fo.Rearm == 0 {
		return DefaultRewatchInterval
	}
	return fo.Rearm
}

// jitter shortens a wait at random, so that processes do not call together.
func (fo *Follower) jitter(du time.Duration) time.Duration {
	if fo.Rand == nil {
		return du
	}
	return time.Duration(float64(du) * (1 - rearmJitter*fo.Rand.Float64()))
}

// logChange logs when the service is lost and found, not each attempt.
func (fo *Follower) logChange(ctx context.Context, err error) {
	switch {
	case ctx.Err() != nil:
	case err != nil && !fo.failing:
		fo.log().WithError(err).Warn("profiles not followed")
	case err == nil && fo.failing:
		fo.log().Info("profiles followed again")
	}
	fo.failing = err != nil
}

func (fo *Follower) log() *logrus.Entry {
	if fo.Log != nil {
		return fo.Log
	}
	silent := logrus.New()
	silent.SetLevel(logrus.PanicLevel)
	return logrus.NewEntry(silent)
}
