package directory

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/keyvalue"
	"wisteriacroft/quarantine"
)

// quarantine returns the table of requests that are kept from endpoints.
func (fo *Follower) quarantine() *quarantine.Table {
	if fo.Quarantine == nil {
		return &fo.noQuarantine
	}
	return fo.Quarantine
}

// applyQuarantine takes in what the key-value service holds of quarantined
// requests.
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
			lo.WithError(err).Error("quarantine does not decode, what is known stays")
		case fo.quarantine().Generation() != before:
			lo.Info("quarantine")
		}
	}
}

// readQuarantine reads it once, for a process that has no feeder.
func (fo *Follower) readQuarantine(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	it, err := fo.Client.Get(ctx, quarantine.Key)
	fo.hear(err)
	switch {
	case err == nil:
		fo.applyQuarantine([]keyvalue.Item{it}, true)
	case !errors.Is(err, keyvalue.ErrNotFound):
		fo.Log.WithError(err).Warn("quarantine can't be read")
	}
}

// takeQuarantine takes in what another process knows of quarantined requests.
//
// It also does while the key-value service is away and nobody feeds: a request
// that ends its endpoints comes to one entry after the other, and each would let
// it end two more until the service is back.
func (fo *Follower) takeQuarantine(from string, res []quarantine.Record) {
	if fo.quarantine().Merge(res, time.Now()) {
		fo.Log.WithFields(logrus.Fields{"from": from, "records": len(res)}).Info("quarantine")
	}
}
