package directory

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/message"
	"wisteriacroft/peer"
	"wisteriacroft/quarantine"
)

// RegisterFeed registers the RPC method by which other processes get a follower's state. Boot
// identifies this run of the process.
func RegisterFeed(sv *peer.Server, fo *Follower, boot string) {
	peer.HandleEncoded(sv, feedMethod,
		func(ctx context.Context, _ message.Header, rq FeedRequest) (peer.Encoded[FeedResponse], error) {
			up, err := fo.awaitUpdate(ctx, boot, rq)
			if err != nil {
				return peer.Encoded[FeedResponse]{}, err
			}
			return fo.encodeUpdate(up)
		})
}

// An update is what a response to a follower has to hold. Equal updates have equal responses.
type update struct {
	age           time.Duration // a multiple of feedAgeStep
	boot          string
	configuration bool
	endpoints     bool
	holds         bool
	returnVersion int64         // see outage
	sinceReturn   time.Duration // a multiple of feedAgeStep; 0 if no endpoint may register again
	standbys      bool
	since         uint64 // the generation that the endpoints follow; unknownGeneration for all endpoints
	state         feedState
}

// A feedUpdate is an update with the quarantined requests that go with it.
type feedUpdate struct {
	update
	holder     string // if stale
	quarantine []quarantine.Record
	stale      bool
}

// isEmpty reports whether the update holds nothing newer than the caller's state. Holds older than the
// caller's don't count, as the feeder may lag behind; they go with the next response.
func (up *feedUpdate) isEmpty(rq FeedRequest) bool {
	newHolds := up.holds && up.state.holds.Version() > rq.Holds
	return !up.configuration && !up.endpoints && !newHolds && len(up.quarantine) == 0
}

// awaitUpdate waits until there are changes for the caller, but at most feedWait.
func (fo *Follower) awaitUpdate(ctx context.Context, boot string, rq FeedRequest) (feedUpdate, error) {
	end := time.Now().Add(feedWait)
	fo.quarantine().MergeUnsaved(rq.Unsaved, time.Now())
	fo.known.add(rq.Address, time.Now())
	for {
		changed, quarantined := fo.Directory.Changed(), fo.quarantine().Changed()
		up, valid, err := fo.update(boot, rq)
		if err != nil || up.stale || rq.Probe || !up.isEmpty(rq) || !time.Now().Before(end) {
			return up, err
		}
		select {
		case <-ctx.Done():
			return up, nil
		case <-time.After(min(time.Until(end), valid)):
		case <-changed:
			sleep(ctx, feedPause)
		case <-quarantined:
			sleep(ctx, feedPause)
		}
	}
}

// update returns what the caller needs now, and for how long the state stays fresh enough to be sent.
//
// The caller takes what it knows for the newest state from then on, also if it is sent nothing. So the feeder must know
// that of each topic: the answers to the calls for one of them may be lost while others arrive.
func (fo *Follower) update(boot string, rq FeedRequest) (feedUpdate, time.Duration, error) {
	now := time.Now()
	fr, known := fo.Directory.freshness(now)
	st := fo.Directory.feedState()
	st.held, st.standbys = fo.quarantine().Generation(), fo.known.joined(now)
	up := feedUpdate{update: update{age: roundUp(fr.age, feedAgeStep), boot: boot, since: unknownGeneration, state: st}}
	if since, version := fo.Directory.registrations(now); version != 0 {
		up.sinceReturn, up.returnVersion = roundUp(since, feedAgeStep), version
	}
	held := rq.Held
	if rq.Boot != boot {
		held = 0
	}
	up.quarantine = fo.quarantine().Since(held, now)
	switch {
	case fo.direct() && known && fr.left >= 0:
	case len(up.quarantine) > 0, fo.otherHolder() != "":
		up.stale, up.holder = true, fo.otherHolder()
		return up, 0, nil
	case !fo.direct() || !known:
		return up, 0, ErrNotFeeder
	default:
		return up, 0, errors.Wrapf(ErrOldState, "%s, by %s", fr.topic, -fr.left)
	}
	up.configuration = st.configuration != nil && st.configuration.Version > rq.Version
	up.holds = st.holds.Version() != rq.Holds
	up.standbys = hashStandbys(st.standbys) != rq.Standbys
	if rq.Probe {
		return feedUpdate{update: update{boot: boot, state: st}}, 0, nil
	}
	up.endpoints = rq.Boot != boot || rq.Generation != st.generation
	if up.endpoints && rq.Boot == boot && rq.Differences && fo.Directory.coversChanges(rq.Generation) {
		up.since = rq.Generation
	}
	return up, fr.left + time.Millisecond, nil
}

// response returns the response of an update, and whether it is that of the update's state: endpoints
// may have changed since.
func (fo *Follower) response(up feedUpdate) (FeedResponse, bool) {
	re := FeedResponse{
		Age: up.age, Boot: up.boot, Generation: up.state.generation, Held: up.state.held, Quarantine: up.quarantine,
		ReturnVersion: up.returnVersion, SinceReturn: up.sinceReturn, Stale: up.stale,
	}
	if up.stale {
		return FeedResponse{Boot: re.Boot, Held: re.Held, Holder: up.holder, Quarantine: re.Quarantine, Stale: true}, false
	}
	if up.configuration {
		re.Configuration = up.state.configuration
	}
	if up.holds {
		re.Holds = up.state.holds.WithVersion(up.state.holds.Version())
	}
	if up.standbys {
		re.Standbys = up.state.standbys
	}
	if !up.endpoints {
		return re, true
	}
	df, ok := fo.Directory.differences(up.since)
	if up.since == unknownGeneration || !ok {
		re.Endpoints, re.Generation = fo.Directory.entries()
		re.Fresh = true
	} else {
		re.Endpoints, re.Removed, re.Generation, re.Total = df.changed, df.removed, df.generation, df.total
		re.Partial, re.Since = true, up.since
	}
	return re, fo.Directory.feedState().revision == up.state.revision
}

// roundUp rounds a duration up to a multiple of a step.
func roundUp(du, step time.Duration) time.Duration { return (max(du, 0) + step - 1).Truncate(step) }

// otherHolder returns the address of the process that feeds, if it is known and not this one.
func (fo *Follower) otherHolder() string {
	if fo.HolderFunc == nil || fo.DirectFunc == nil || fo.DirectFunc() {
		return ""
	}
	return fo.HolderFunc()
}
