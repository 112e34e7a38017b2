package profile

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"
)

// Intervals of a Follower.
const (
	// DefaultRewatchInterval is how long a watch waits before the value is read again.
	// It bounds the delay that a watch whose connection hangs can cause.
	DefaultRewatchInterval = 10 * time.Second

	followBackoff    = 500 * time.Millisecond
	maxFollowBackoff = 5 * time.Second
	waitJitter       = 0.2
)

// A Follower updates a Replica from the key-value service. Only entries run one;
// attendants fetch from entries, which keeps the number of watches small.
type Follower struct {
	Holder *Replica
	Log    *logrus.Entry // nil: logs nothing
	Rand   *rand.Rand    // nil: no jitter
	Rearm  time.Duration // default DefaultRewatchInterval
	Store  *Store

	failing bool
}

// Run updates the replica until ctx is done.
func (fo *Follower) Run(ctx context.Context) {
	fo.Holder.rejectBranches()
	backoff := followBackoff
	for ctx.Err() == nil {
		err := fo.readAndWatch(ctx)
		fo.logTransition(ctx, err)
		if err == nil {
			backoff = followBackoff
			continue
		}
		sleep(ctx, fo.jitter(backoff))
		backoff = min(2*backoff, maxFollowBackoff)
	}
}

// readAndWatch reads the value once and then watches it until the rewatch
// interval ends. The read finds changes that a watch missed, including a lower version.
func (fo *Follower) readAndWatch(ctx context.Context) error {
	vd, err := fo.Store.readWithin(ctx, callTimeout)
	if err != nil {
		return err
	}
	if err := fo.reconcile(ctx, vd); err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, fo.jitter(fo.rewatchInterval()))
	defer cancel()
	vd, err = fo.Store.Watch(limited, vd.Version)
	if limited.Err() != nil {
		return nil // no change, or the watch hangs: read again
	}
	if err != nil {
		return err
	}
	if err := fo.reconcile(ctx, vd); err != nil {
		return err
	}
	if vd.Version == 0 {
		// The key was deleted and there is no document to restore. A watch on a
		// deleted key returns at once: without a pause, this would be a busy loop.
		sleep(ctx, fo.jitter(maxFollowBackoff))
	}
	return nil
}

// reconcile restores changes that the service has lost and offers the result to
// the replica.
func (fo *Follower) reconcile(ctx context.Context, vd VersionedDocument) error {
	fo.Holder.RecordContact(FromService, time.Now())
	do, err := fo.Store.Reconcile(ctx, fo.Holder.Current(), vd)
	if err != nil {
		return err
	}
	if fo.Holder.Offer(do, FromService) {
		fo.log().WithField("revision", do.revision).Info("profiles in force")
	}
	return nil
}

func (fo *Follower) rewatchInterval() time.Duration {
	if fo.Rearm == 0 {
		return DefaultRewatchInterval
	}
	return fo.Rearm
}

// jitter shortens a wait at random, so that processes do not call at the same time.
func (fo *Follower) jitter(du time.Duration) time.Duration {
	if fo.Rand == nil {
		return du
	}
	return time.Duration(float64(du) * (1 - waitJitter*fo.Rand.Float64()))
}

// logTransition logs when following starts to fail or recovers, not each attempt.
func (fo *Follower) logTransition(ctx context.Context, err error) {
	switch {
	case ctx.Err() != nil:
	case err != nil && !fo.failing:
		fo.log().WithError(err).Warn("profiles not followed")
	case err == nil && fo.failing:
		fo.log().Info("reading profiles from the key-value service recovered")
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
