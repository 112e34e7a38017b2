package profile

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Pace of a Syncer.
const (
	fetchBackoff     = 200 * time.Millisecond
	fetchTimeout     = 2 * time.Second
	forgetAfter      = 10 * time.Minute
	mostFetchBackoff = 5 * time.Second
)

// A Syncer brings the highest revision that any peer holds into a Replica.
// Each message between processes carries its sender's revision; whoever is
// behind fetches the document from the sender. So a change reaches processes
// that do not watch the service, and a process that starts during an outage
// takes what its peers hold.
type Syncer struct {
	// FetchFunc asks a peer for its document.
	FetchFunc func(ctx context.Context, peer string) (Document, error)
	Holder    *Replica
	Rand      *rand.Rand // nil: the first of equals is asked

	mu       sync.Mutex
	fetches  int64
	fetching bool
	peers    []peer // in the order in which they were first heard
}

// A peer is a row of the Syncer's table.
type peer struct {
	failures int // in a row
	heardAt  time.Time
	name     string
	notYet   time.Time // not asked before this
	revision uint64
}

// Fetches returns how many documents were asked for.
func (sp *Syncer) Fetches() int64 {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	return sp.fetches
}

// Observe notes the revision that a message from a peer carried.
func (sp *Syncer) Observe(name string, revision uint64) {
	now := time.Now()
	sp.Holder.RecordContact(FromPeer, now)
	sp.mu.Lock()
	defer sp.mu.Unlock()
	pe := sp.row(name)
	if pe == nil {
		sp.peers = append(sp.peers, peer{name: name})
		pe = &sp.peers[len(sp.peers)-1]
	}
	pe.heardAt = now
	pe.revision = revision
}

// row returns a peer's row, or nil. The caller holds mu.
func (sp *Syncer) row(name string) *peer {
	for i := range sp.peers {
		if sp.peers[i].name == name {
			return &sp.peers[i]
		}
	}
	return nil
}

// Run is a system: it asks one peer that holds a higher revision, if there is
// one and no earlier question is open.
func (sp *Syncer) Run(now time.Time) {
	held := sp.Holder.Revision()
	sp.mu.Lock()
	defer sp.mu.Unlock()
	sp.forget(now)
	if sp.fetching || sp.FetchFunc == nil {
		return
	}
	name, ok := sp.pick(now, held)
	if !ok {
		return
	}
	sp.fetching = true
	sp.fetches++
	go sp.fetch(name)
}

// forget drops peers that were replaced: their names do not come back.
func (sp *Syncer) forget(now time.Time) {
	kept := sp.peers[:0]
	for _, pe := range sp.peers {
		if now.Sub(pe.heardAt) < forgetAfter {
			kept = append(kept, pe)
		}
	}
	sp.peers = kept
}

// pick chooses at random among the peers with the highest revision above held,
// so that one peer isn't asked by all.
func (sp *Syncer) pick(now time.Time, held uint64) (string, bool) {
	var best []string
	highest := held
	for _, pe := range sp.peers {
		if pe.revision <= held || now.Before(pe.notYet) || pe.revision < highest {
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
	case sp.Rand == nil:
		return best[0], true
	default:
		return best[sp.Rand.IntN(len(best))], true
	}
}

// fetch asks a peer for its document and offers it to the Replica.
func (sp *Syncer) fetch(name string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	do, err := sp.FetchFunc(ctx, name)
	taken := err == nil && sp.Holder.Offer(do, FromPeer)
	sp.mu.Lock()
	defer sp.mu.Unlock()
	sp.fetching = false
	if pe := sp.row(name); pe != nil {
		pe.note(taken, time.Now())
	}
}

// note makes a peer that failed wait, so that another is asked in between: one
// that went silent must not hold the process at an old revision.
func (pe *peer) note(taken bool, now time.Time) {
	if taken {
		pe.failures = 0
		return
	}
	wait := min(fetchBackoff<<min(pe.failures, 10), mostFetchBackoff)
	pe.failures++
	pe.notYet = now.Add(wait)
}
