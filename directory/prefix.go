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

// Prefix scans a prefix and follows its changes until ctx ends. Apply is called with a complete
// listing (true) first and after the history was lost or the revision went back, and with
// changes (false) otherwise.
func (fo *Follower) Prefix(
	ctx context.Context, prefix string, wait, pause time.Duration, apply func([]keyvalue.Item, bool),
) {
	var after int64
	scan := true
	for ctx.Err() == nil {
		ch, err := fo.next(ctx, prefix, after, scan, wait)
		if ctx.Err() != nil {
			return
		}
		fo.recordContact(err)
		fo.setUnavailable(prefix, err)
		if errors.Is(err, keyvalue.ErrHistoryGone) {
			fo.Log.WithFields(logrus.Fields{"prefix": prefix, "after": after}).Info("history lost, scanning again")
			scan = true
			continue
		}
		if err != nil {
			sleep(ctx, retryPause)
			continue
		}
		if back := ch.Version < after; back && !scan {
			// After a restore from an older backup, no changes would be reported until the
			// revision is as high again.
			fo.Log.WithFields(logrus.Fields{"prefix": prefix, "after": after, revisionField: ch.Version}).Warn("revision decreased, scanning again")
			scan = true
			sleep(ctx, retryPause)
			continue
		}
		if scan || len(ch.Items) > 0 {
			apply(ch.Items, scan)
		}
		if to, ok := fo.topic(prefix); ok {
			fo.Directory.Confirm(to, time.Now())
		}
		if prefix == fo.Source.OperatorPrefix || prefix == fo.Source.ConfigurationKey {
			fo.awaitsOperator.Store(false)
		}
		if scan || len(ch.Items) > 0 {
			sleep(ctx, pause)
		}
		after, scan = ch.Version, false
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

func (fo *Follower) next(
	ctx context.Context, prefix string, after int64, scan bool, wait time.Duration,
) (keyvalue.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+followSlack)
	defer cancel()
	if scan {
		return fo.Client.Scan(ctx, prefix)
	}
	return fo.Client.Follow(ctx, prefix, after, wait)
}
