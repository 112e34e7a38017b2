package directory

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/keyvalue"
)

func (fo *Follower) applyOperator(its []keyvalue.Item, _ bool) {
	for _, it := range its {
		switch {
		case it.Value == nil:
		case it.Key == fo.Source.ConfigurationKey:
			fo.applyConfiguration(it)
		case strings.HasPrefix(it.Key, fo.Source.VersionPrefix):
			fo.applyVersion(it)
		case fo.OperatorFunc != nil:
			fo.OperatorFunc(it)
		}
	}
}

func (fo *Follower) applyConfiguration(it keyvalue.Item) {
	co, err := fo.Source.DecodeConfigurationFunc(it.Value)
	en := fo.Log.WithFields(logrus.Fields{"key": it.Key, revisionField: it.Version})
	if err != nil {
		en.WithError(err).Error("cannot decode configuration, keeping the current one")
		return
	}
	taken := fo.Directory.SetConfiguration(co)
	en.WithFields(logrus.Fields{"version": co.Version, "routes": len(co.Routes), "taken": taken}).Info("configuration")
	if taken && len(co.Unread) > 0 {
		en.WithFields(logrus.Fields{
			"count": len(co.Unread), "unread": co.Unread[:min(len(co.Unread), maxUnreadLogged)], "version": co.Version,
		}).Error("cannot decode parts of the configuration, treating them as absent")
	}
}

func (fo *Follower) applyVersion(it keyvalue.Item) {
	model, version, err := fo.Source.DecodeVersionFunc(it.Value)
	en := fo.Log.WithFields(logrus.Fields{"key": it.Key, revisionField: it.Version})
	if err != nil {
		en.WithError(err).Error("cannot decode announced version")
		return
	}
	if fo.Directory.SetVersion(model, version) {
		en.WithFields(logrus.Fields{"model": model, "version": version}).Info("version named")
	}
}

// applyEndpoints applies changes in their order, so that the last one of an endpoint wins. Full
// means that the items are a complete listing.
func (fo *Follower) applyEndpoints(its []keyvalue.Item, full bool) {
	var ens []Endpoint
	now := time.Now()
	if full {
		fo.unusable.retain(its)
	}
	for _, it := range its {
		id := strings.TrimPrefix(it.Key, fo.Source.EndpointPrefix)
		if it.Value == nil {
			fo.unusable.remove(it.Key)
			re := fo.Directory.RemoveEndpoint(id, now)
			fo.Log.WithFields(re.fields(now)).WithFields(logrus.Fields{"endpoint": id, revisionField: it.Version}).Info("endpoint's entry removed")
			continue
		}
		en, err := fo.decodeEndpoint(id, it)
		if fo.isUnusable(it, err) {
			fo.Directory.Drop(id)
			continue
		}
		fo.logEndpoint(en)
		if fo.Directory.isMissing(id) {
			fo.Log.WithFields(logrus.Fields{"endpoint": id, revisionField: it.Version}).Info("endpoint registered again")
		}
		if old := fo.Directory.SetEndpoint(en); old != "" {
			fo.Log.WithFields(logrus.Fields{"by": en.ID, "endpoint": old, revisionField: it.Version}).Info("endpoint was replaced")
		}
		ens = append(ens, en)
	}
	if full {
		fo.logMissing(fo.Directory.SetEndpoints(ens, now), now)
	}
}

// decodeEndpoint returns the endpoint that an entry describes.
func (fo *Follower) decodeEndpoint(id string, it keyvalue.Item) (Endpoint, error) {
	if len(it.Value) > maxEntry {
		return Endpoint{}, errors.Wrapf(errLargeEntry, "%d bytes", len(it.Value))
	}
	en, err := fo.Source.DecodeEndpointFunc(id, it.Value)
	en.Revision = it.Version
	return en, err
}

// logEndpoint logs an endpoint if it is new or its Leaving has changed.
func (fo *Follower) logEndpoint(en Endpoint) {
	old, known := fo.Directory.entry(en.ID)
	if known && old.Leaving == en.Leaving {
		return
	}
	fo.Log.WithFields(logrus.Fields{
		"address": en.Address, "endpoint": en.ID, "leaving": en.Leaving,
		revisionField: en.Revision, "service": en.Service,
	}).Info("endpoint")
}
