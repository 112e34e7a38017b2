package directory

import (
	"sync"

	"wisteriacroft/peer"
)

// maxEncodedUpdates bounds the updates of one state that are kept encoded. Followers that were sent
// every earlier generation need only a few.
const maxEncodedUpdates = 64

// An updateCache keeps the encoded responses of the newest state, so that a change is encoded once and
// not once for each follower. The zero value is empty and ready to use.
type updateCache struct {
	encoded map[update]peer.Encoded[FeedResponse]
	mu      sync.Mutex
	state   feedState
}

// encodeUpdate returns the encoded response of an update.
//
// All followers ask at the same moment after a change. The first one encodes the response while the
// others wait for it.
func (fo *Follower) encodeUpdate(up feedUpdate) (peer.Encoded[FeedResponse], error) {
	if up.stale || len(up.quarantine) > 0 {
		re, _ := fo.response(up)
		fo.counts.countResponse(re)
		return peer.EncodeResponse(re)
	}
	ca := &fo.cache
	ca.mu.Lock()
	defer ca.mu.Unlock()
	if ca.encoded == nil || ca.state != up.state || len(ca.encoded) >= maxEncodedUpdates {
		ca.state, ca.encoded = up.state, map[update]peer.Encoded[FeedResponse]{}
	}
	if en, ok := ca.encoded[up.update]; ok {
		fo.counts.countUpdate(up.update)
		return en, nil
	}
	re, current := fo.response(up)
	en, err := peer.EncodeResponse(re)
	if current && err == nil {
		ca.encoded[up.update] = en
	}
	fo.counts.countResponse(re)
	return en, err
}
