package lease

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"wisteriacroft/keyvalue"
)

// Settings of looking up a holder.
const (
	// lookupInterval is the minimum interval of lookups while no holder is known.
	lookupInterval = 300 * time.Millisecond
	lookupTimeout  = 800 * time.Millisecond
	// freshLookupEvery makes every third lookup a consistent read. The others are stale reads,
	// which cost less and may return a record that is seconds old.
	freshLookupEvery = 3
)

// A Resolver looks up and caches the address of the holder of a name. Set the exported fields
// before use. It is safe for concurrent use.
type Resolver struct {
	Client *keyvalue.Client
	Log    *logrus.Entry
	Name   string

	address    string // empty if unknown
	invalid    string // address that was invalidated last
	invalidAt  time.Time
	lookups    int
	lookedUpAt time.Time
	mu         sync.Mutex
}

// Address returns the holder's address, or "" if it is unknown.
func (re *Resolver) Address(ctx context.Context) string {
	re.mu.Lock()
	if re.address != "" || time.Since(re.lookedUpAt) < lookupInterval {
		defer re.mu.Unlock()
		return re.address
	}
	re.lookedUpAt = time.Now()
	re.lookups++
	lookup := currentStale
	if re.lookups%freshLookupEvery == 0 {
		lookup = Current
	}
	re.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	rec, err := lookup(ctx, re.Client, re.Name)
	re.Log.WithFields(logrus.Fields{"address": rec.Owner, "epoch": rec.Epoch, "error": err, "lease": re.Name}).
		Info("looked for the holder")
	if err != nil {
		return ""
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	re.address = rec.Owner
	return rec.Owner
}

// Invalidate drops the cached address if it is the given one, whose process is unreachable or no
// longer holds the name.
func (re *Resolver) Invalidate(address string, err error) {
	re.mu.Lock()
	defer re.mu.Unlock()
	if re.address == address && address != "" {
		re.address, re.invalid, re.invalidAt = "", address, time.Now()
		re.Log.WithFields(logrus.Fields{"address": address, "dependency": re.Name, "error": err}).Warn("dependency lost")
	}
}

// Known returns the cached address, or "".
func (re *Resolver) Known() string {
	re.mu.Lock()
	defer re.mu.Unlock()
	return re.address
}

// learnPause is the time after an address was invalidated in which another process that names it is
// not believed: it may not have noticed yet that the holder is gone.
const learnPause = time.Second

// Learn sets the holder's address as another process knows it, which saves a lookup.
func (re *Resolver) Learn(address string) {
	re.mu.Lock()
	defer re.mu.Unlock()
	if address == "" || address == re.address || address == re.invalid && time.Since(re.invalidAt) < learnPause {
		return
	}
	re.address = address
	re.Log.WithFields(logrus.Fields{"address": address, "lease": re.Name}).Info("was told the holder")
}
