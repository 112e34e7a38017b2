package directory

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/hold"
	"wisteriacroft/keyvalue"
	"wisteriacroft/quarantine"
)

// A prefixCall is one call about a prefix: a scan, or a long poll for changes.
type prefixCall struct {
	after     int64 // the version that a long poll continues from
	called    time.Time
	prefix    string
	recovered <-chan struct{} // closed if the service recovers after the call was sent
	scan      bool
	wait      time.Duration // of a long poll
}

// Prefix scans a prefix and follows its changes until ctx ends. Apply is called with a complete
// listing (true) first and after the history was lost or the revision went back, and with
// changes (false) otherwise.
func (fo *Follower) Prefix(
	ctx context.Context, prefix string, wait, pause time.Duration, apply func([]keyvalue.Item, bool),
) {
	defer fo.outages.set(prefix, false) // nobody calls for it any more
	pc := prefixCall{prefix: prefix, scan: true, wait: wait}
	for ctx.Err() == nil {
		pc.called, pc.recovered = time.Now(), fo.Client.Recovery().Recovered()
		ch, err := fo.callPrefix(ctx, pc)
		if ctx.Err() != nil {
			return
		}
		if !fo.recordResult(ctx, &pc, ch, err) {
			continue
		}
		if prefix == fo.Source.EndpointPrefix {
			fo.recordOutage(ch.Version)
		}
		changed := pc.scan || len(ch.Items) > 0
		if changed {
			apply(ch.Items, pc.scan)
		}
		at := pc.confirmedAt(ch, time.Now())
		if to, ok := fo.topic(prefix); ok {
			fo.Directory.Confirm(to, at)
		}
		if changed {
			sleep(ctx, pause)
		}
		pc.after, pc.scan = ch.Version, false
		pc.wait = max(0, wait-elapsed(at, time.Now()))
	}
}

// callPrefix makes a call. Its timeout bounds how long a connection that has gone silent delays changes. In an outage the call ends as
// soon as another one shows that the service is back.
func (fo *Follower) callPrefix(ctx context.Context, pc prefixCall) (keyvalue.Changes, error) {
	ctx, cancel := fo.Client.Recovery().Context(ctx)
	defer cancel()
	wait := pc.wait
	if pc.scan {
		wait = followWait
	}
	ctx, cancelTime := context.WithTimeout(ctx, wait+followSlack)
	defer cancelTime()
	if pc.scan {
		return fo.Client.Scan(ctx, pc.prefix)
	}
	return fo.Client.Follow(ctx, pc.prefix, pc.after, pc.wait)
}

// recordResult records the result of a call, and reports whether its changes can be applied. If not, it sets the next call, and
// pauses unless the history was lost. After a failed call the next one doesn't wait for changes, so that the service's return is noticed
// at once.
func (fo *Follower) recordResult(ctx context.Context, pc *prefixCall, ch keyvalue.Changes, err error) bool {
	fo.recordContact(err)
	fo.setUnavailable(pc.prefix, err)
	lo := fo.Log.WithFields(logrus.Fields{"prefix": pc.prefix, "after": pc.after})
	switch {
	case errors.Is(err, keyvalue.ErrHistoryGone):
		lo.Info("history lost, scanning again")
		pc.scan = true
		return false
	case err == nil && (pc.scan || ch.Version >= pc.after):
		return true
	case err == nil:
		// After a restore from an older backup, no changes would be reported until the
		// revision is as high again.
		lo.WithField(revisionField, ch.Version).Warn("revision decreased, scanning again")
		pc.scan = true
	default:
		pc.wait = 0
	}
	fo.Client.Recovery().Pause(ctx, pc.recovered, retryPause)
	return false
}

// confirmedAt returns the latest time at which the state of a response is known to have been the newest one: that of the
// call, or the end of its wait if nothing changed. After that the response may have been held up on its way.
func (pc prefixCall) confirmedAt(ch keyvalue.Changes, now time.Time) time.Time {
	end := pc.called.Add(pc.wait)
	switch {
	case pc.scan || len(ch.Items) > 0:
		return pc.called
	case end.After(now): // the service did not wait so long
		return now
	default:
		return end
	}
}

// topic returns the topic that the items under a prefix belong to.
func (fo *Follower) topic(prefix string) (Topic, bool) {
	switch prefix {
	case fo.Source.EndpointPrefix:
		return TopicEndpoints, true
	case fo.Source.OperatorPrefix, fo.Source.ConfigurationKey:
		return TopicOperator, true
	case hold.Key:
		return TopicHolds, true
	case quarantine.Key:
		return TopicQuarantine, true
	default:
		return 0, false
	}
}
