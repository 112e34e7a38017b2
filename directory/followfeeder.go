package directory

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// Pauses after failed calls to the feeder.
const (
	// feederRetryPause is the pause before the next call to a feeder after a failed one, and
	// lostFeederPause the same once the process reads from the key-value service itself.
	feederRetryPause = 100 * time.Millisecond
	lostFeederPause  = 250 * time.Millisecond
	// standbyGrace is how much longer a process without a feeder waits if a standby responds, which is
	// about to feed. Together with Patience and a call it stays below the 2 s after which a leaving
	// endpoint must get no new work.
	standbyGrace = 300 * time.Millisecond
)

// holdsCheckPause is the minimum interval between reads of the holds from the key-value service
// after the feeder sent an older version: it may lag behind for a while.
const holdsCheckPause = 2 * time.Second

// followFeeder gets updates from the feeder until ctx ends. While the feeder is away, it gets them from
// a standby, and if there is none, reads from the key-value service itself.
//
// Calls to the key-value service are billed, and an endpoint's entry changes with each version
// of its weights, so that it is cheaper if one process reads on behalf of all.
func (fo *Follower) followFeeder(ctx context.Context) {
	rq := FeedRequest{Address: fo.Address, Differences: true}
	var fb feedFallback
	defer fb.end()
	contact := time.Now()                                         // last response of the feeder
	staleReadAt := contact.Add(staleReadDelay + fo.staleOffset()) // zero once done
	var nextRead time.Time
	for ctx.Err() == nil {
		fo.describeState(&rq)
		re, err := fo.callFeeders(ctx, rq)
		if err == nil && !re.Stale {
			fb.end()
			rq = fo.followUp(rq, re, fo.applyResponse(ctx, rq, re))
			contact = time.Now()
			continue
		}
		if err == nil {
			rq.Boot, rq.Held = re.Boot, re.Held
		}
		rq.Generation = unknownGeneration // the endpoints may be replaced by a direct read
		if !staleReadAt.IsZero() && !time.Now().Before(staleReadAt) {
			staleReadAt = time.Time{}
			fo.readStale(ctx)
		}
		patience := fo.Patience
		if err == nil {
			patience += standbyGrace
		}
		if time.Since(contact) < patience {
			sleep(ctx, feederRetryPause)
			continue
		}
		if fo.substitute() {
			return
		}
		if !time.Now().Before(nextRead) {
			nextRead = time.Now().Add(fo.readDirectly(ctx, &fb))
		}
		sleep(ctx, lostFeederPause)
	}
}

// describeState sets what this process knows in a request, but for the endpoints and the quarantine.
func (fo *Follower) describeState(rq *FeedRequest) {
	if co := fo.Directory.Configuration(); co != nil {
		rq.Version = co.Version
	}
	rq.Holds = fo.Directory.Holds().Version()
	rq.Standbys = hashStandbys(fo.standbys)
	rq.Unsaved = fo.quarantine().Unsaved()
}

// followUp returns the request after a response, which was applied with an error or none.
func (fo *Follower) followUp(rq FeedRequest, re FeedResponse, err error) FeedRequest {
	next := FeedRequest{Address: fo.Address, Boot: re.Boot, Differences: true, Generation: re.Generation, Held: re.Held}
	if err == nil {
		return next
	}
	fo.counts.gaps.Add(1)
	fo.Log.WithError(err).WithFields(logrus.Fields{
		"boot": re.Boot, "generation": re.Generation, "known": rq.Generation, "since": re.Since, "total": re.Total,
	}).Warn("cannot apply differences, asking for all endpoints")
	next.Generation = unknownGeneration
	return next
}

// applyResponse applies a response of the feeder to a request. It returns errGap if its differences
// don't follow the known endpoints; nothing of the endpoints has changed then.
//
// A feeder responds only while the key-value service is available to it, so that any outage is
// over. Without recording that, an endpoint removed long after an outage would be kept for
// reregisterGrace, as this process does not call the service itself.
func (fo *Follower) applyResponse(ctx context.Context, rq FeedRequest, re FeedResponse) error {
	fo.setUnavailable(fo.Source.EndpointPrefix, nil)
	fo.setHolds("feeder", re.Holds)
	if re.Holds != nil && time.Since(fo.holdsCheckedAt) >= holdsCheckPause {
		fo.holdsCheckedAt = time.Now()
		defer fo.checkHolds(ctx, re.Holds.Version())
	}
	if re.Standbys != "" {
		fo.standbys = re.Standbys
	}
	if co := re.Configuration; co != nil && fo.Directory.SetConfiguration(co) {
		fo.Log.WithFields(logrus.Fields{"from": "feeder", "routes": len(co.Routes), "taken": true, "version": co.Version}).Info("configuration")
	}
	if re.ReturnVersion != 0 {
		fo.Directory.learnReturn(time.Now().Add(-re.SinceReturn), re.ReturnVersion)
	}
	if err := fo.applyEndpointUpdate(rq, re); err != nil {
		return err
	}
	at := time.Now().Add(-re.Age)
	for _, to := range Topics() {
		fo.Directory.Confirm(to, at)
	}
	return nil
}

// applyEndpointUpdate applies the endpoints of a feeder's response.
func (fo *Follower) applyEndpointUpdate(rq FeedRequest, re FeedResponse) error {
	switch {
	case re.Fresh:
		fo.Directory.replaceEndpoints(re.Endpoints)
	case !re.Partial && re.Boot == rq.Boot && re.Generation == rq.Generation: // nothing changed
	case !re.Partial:
		return errors.Wrap(errGap, "the endpoints are of another generation")
	case re.Boot != rq.Boot || re.Since != rq.Generation:
		return errors.Wrap(errGap, "they follow another generation")
	case !fo.Directory.applyDifferences(differences{changed: re.Endpoints, removed: re.Removed, total: re.Total}):
		return errors.Wrap(errGap, "the number of endpoints differs")
	}
	return nil
}
