package directory

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/keyvalue"
	"wisteriacroft/quarantine"
)

// quarantine returns the quarantine table, an empty one if none is set.
func (fo *Follower) quarantine() *quarantine.Table {
	if fo.Quarantine == nil {
		return &fo.emptyQuarantine
	}
	return fo.Quarantine
}

// applyQuarantine loads the quarantine if it is among items of the key-value service.
func (fo *Follower) applyQuarantine(its []keyvalue.Item, _ bool) {
	for _, it := range its {
		if it.Key != quarantine.Key || it.Value == nil {
			continue
		}
		before := fo.quarantine().Generation()
		err := fo.quarantine().Load(it.Value, time.Now())
		lo := fo.Log.WithFields(logrus.Fields{"from": "key-value", revisionField: it.Version})
		switch {
		case err != nil:
			lo.WithError(err).Error("cannot decode quarantine, keeping the current one")
		case fo.quarantine().Generation() != before:
			lo.Info("quarantine")
		}
	}
}

// readQuarantine reads the quarantine from the key-value service once, for a process without a
// feeder.
func (fo *Follower) readQuarantine(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	called := time.Now()
	it, err := fo.Client.Get(ctx, quarantine.Key)
	fo.recordContact(err)
	if err == nil || errors.Is(err, keyvalue.ErrNotFound) {
		fo.Directory.Confirm(TopicQuarantine, called)
	}
	switch {
	case err == nil:
		fo.applyQuarantine([]keyvalue.Item{it}, true)
	case !errors.Is(err, keyvalue.ErrNotFound):
		fo.Log.WithError(err).Warn("cannot read quarantine")
	}
}

// mergeQuarantine merges quarantine records from another process.
//
// This also works while the key-value service is unavailable. Otherwise a request that crashes
// its endpoints could be retried at one entry after the other, and crash more endpoints at
// each.
func (fo *Follower) mergeQuarantine(from string, res []quarantine.Record) {
	if fo.quarantine().Merge(res, time.Now()) {
		fo.Log.WithFields(logrus.Fields{"from": from, "records": len(res)}).Info("quarantine")
	}
}
