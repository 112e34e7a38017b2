package directory

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// standbyTTL is how long after its last call a standby is named to followers. It covers three long
	// polls.
	standbyTTL = 3 * feedWait
	// leaderProbePause is the pause between two calls of a substitute to its feeder.
	leaderProbePause = 200 * time.Millisecond
)

// A standbyList holds the addresses of the processes that can take a feeder's place, as they called it
// last. The zero value is empty and ready to use.
type standbyList struct {
	mu   sync.Mutex
	seen map[string]time.Time // last call, by address
}

// add records a call of a standby. An empty address is that of a process that can't feed others.
func (sl *standbyList) add(address string, now time.Time) {
	if address == "" {
		return
	}
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if sl.seen == nil {
		sl.seen = map[string]time.Time{}
	}
	sl.seen[address] = now
}

// joined returns the addresses, sorted and separated by spaces.
func (sl *standbyList) joined(now time.Time) string {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	var addresses []string
	for address, at := range sl.seen {
		if now.Sub(at) > standbyTTL {
			delete(sl.seen, address)
			continue
		}
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return strings.Join(addresses, " ")
}

// hashStandbys returns a number that identifies a list of standbys; 0 for none.
func hashStandbys(joined string) uint64 {
	if joined == "" {
		return 0
	}
	return xxhash.Sum64String(joined)
}

// standbyOrder returns the standbys in the order in which this process asks them. Processes begin at
// different ones, so that each standby gets an equal part of them.
func (fo *Follower) standbyOrder() []string {
	addresses := strings.Fields(fo.standbys)
	if len(addresses) == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(fo.Name) % uint64(len(addresses)))
	return append(slices.Clone(addresses[first:]), addresses[:first]...)
}

// substitute makes a standby read the key-value service itself and feed others, until its feeder
// responds again. It returns false if the process can't feed others.
//
// Without substitutes, all entries would read the service themselves while the feeder is lost or cut
// off from it, which costs calls by the number of entries.
func (fo *Follower) substitute() bool {
	if fo.Address == "" {
		return false
	}
	if !fo.substitutes.Swap(true) {
		fo.Log.Warn("feeder is away, feeding in its place")
	}
	return true
}

// Substitutes reports whether the process feeds others in its feeder's place.
func (fo *Follower) Substitutes() bool { return fo.substitutes.Load() }

// probeFeeder ends the substitution as soon as the feeder responds, or this process has become it.
func (fo *Follower) probeFeeder(ctx context.Context) {
	for ctx.Err() == nil {
		address := fo.otherHolder()
		if address == "" {
			address = fo.feederAddress(ctx)
		}
		var err error
		if address != fo.Address {
			_, err = fo.callFeed(ctx, address, FeedRequest{Probe: true})
		}
		if err == nil && address != "" {
			fo.substitutes.Store(false)
			fo.Log.WithField("address", address).Info("feeder is back")
			return
		}
		sleep(ctx, leaderProbePause)
	}
}
