package profile

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Intervals of a Syncer.
const (
	fetchBackoff    = 200 * time.Millisecond
	fetchTimeout    = 2 * time.Second
	peerTTL         = 10 * time.Minute
	maxFetchBackoff = 5 * time.Second
)

// A Syncer updates a Replica to the highest revision that any peer holds.
// Each message between processes carries its sender's revision; a receiver
// that is behind fetches the document from the sender. This updates processes
// that do not watch the key-value service, and processes that start during
// an outage of it. It is safe for concurrent use.
type Syncer struct {
	// FetchFunc fetches a peer's document.
	FetchFunc func(ctx context.Context, peer string) (Document, error)
	Holder    *Replica
	Rand      *rand.Rand // nil: the first of several equal peers is used

	mu       sync.Mutex
	fetches  int64
	fetching bool
	peers    []peer // in the order of their first message
}

type peer struct {
	failures int // consecutive
	lastSeen time.Time
	name     string
	retryAt  time.Time // not asked before this
	revision uint64
}

// Fetches returns the number of fetches started.
func (sy *Syncer) Fetches() int64 {
	sy.mu.Lock()
	defer sy.mu.Unlock()
	return sy.fetches
}

// Observe records the revision that a message from a peer carried.
func (sy *Syncer) Observe(name string, revision uint64) {
	now := time.Now()
	sy.Holder.RecordContact(FromPeer, now)
	sy.mu.Lock()
	defer sy.mu.Unlock()
	pe := sy.lookup(name)
	if pe == nil {
		sy.peers = append(sy.peers, peer{name: name})
		pe = &sy.peers[len(sy.peers)-1]
	}
	pe.lastSeen = now
	pe.revision = revision
}

// lookup returns the peer with a name, or nil. The caller holds mu.
func (sy *Syncer) lookup(name string) *peer {
	for i := range sy.peers {
		if sy.peers[i].name == name {
			return &sy.peers[i]
		}
	}
	return nil
}

// Run starts a fetch from one peer that holds a higher revision, unless a fetch
// is in progress. It is called once a tick.
func (sy *Syncer) Run(now time.Time) {
	held := sy.Holder.Revision()
	sy.mu.Lock()
	defer sy.mu.Unlock()
	sy.evictStale(now)
	if sy.fetching || sy.FetchFunc == nil {
		return
	}
	name, ok := sy.pick(now, held)
	if !ok {
		return
	}
	sy.fetching = true
	sy.fetches++
	go sy.fetch(name)
}

// evictStale drops peers without a recent message, such as replaced processes.
func (sy *Syncer) evictStale(now time.Time) {
	kept := sy.peers[:0]
	for _, pe := range sy.peers {
		if now.Sub(pe.lastSeen) < peerTTL {
			kept = append(kept, pe)
		}
	}
	sy.peers = kept
}

// pick chooses at random among the peers with the highest revision above held,
// which spreads the fetches of many processes over the peers.
func (sy *Syncer) pick(now time.Time, held uint64) (string, bool) {
	var best []string
	highest := held
	for _, pe := range sy.peers {
		if pe.revision <= held || now.Before(pe.retryAt) || pe.revision < highest {
			continue
		}
		if pe.revision > highest {
			highest = pe.revision
			best = best[:0]
		}
		best = append(best, pe.name)
	}
	switch {
	case len(best) == 0:
		return "", false
	case sy.Rand == nil:
		return best[0], true
	default:
		return best[sy.Rand.IntN(len(best))], true
	}
}

// fetch fetches a peer's document and offers it to the Replica.
func (sy *Syncer) fetch(name string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	do, err := sy.FetchFunc(ctx, name)
	taken := err == nil && sy.Holder.Offer(do, FromPeer)
	sy.mu.Lock()
	defer sy.mu.Unlock()
	sy.fetching = false
	if pe := sy.lookup(name); pe != nil {
		pe.recordFetch(taken, time.Now())
	}
}

// recordFetch records the result of a fetch. After a failure, the peer is not used for
// a backoff, so that a peer that hangs does not keep the process at an old revision.
func (pe *peer) recordFetch(taken bool, now time.Time) {
	if taken {
		pe.failures = 0
		return
	}
	wait := min(fetchBackoff<<min(pe.failures, 10), maxFetchBackoff)
	pe.failures++
	pe.retryAt = now.Add(wait)
}
