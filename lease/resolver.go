package lease

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"wisteriacroft/keyvalue"
)

// Bounds of looking for a holder.
const (
	// lookEvery is how often the service is asked while no holder is known.
	lookEvery = 300 * time.Millisecond
	// lookTimeout bounds one such question.
	lookTimeout = 800 * time.Millisecond
	// freshLook is which look asks for the record as it is now. The others may get
	// one that is seconds old, at a tenth of the price: as a rule it is not, and a
	// holder that is gone is found out when it is called.
	freshLook = 3
)

// A Resolver knows where the holder of a name is. Fill the exported fields before
// use.
type Resolver struct {
	Client *keyvalue.Client
	Log    *logrus.Entry
	Name   string

	address  string // empty if not known
	looks    int    // made until now
	lookedAt time.Time
	mu       sync.Mutex
}

// Address returns where the holder is, or "".
func (fi *Resolver) Address(ctx context.Context) string {
	fi.mu.Lock()
	if fi.address != "" || time.Since(fi.lookedAt) < lookEvery {
		defer fi.mu.Unlock()
		return fi.address
	}
	fi.lookedAt = time.Now()
	fi.looks++
	look := lately
	if fi.looks%freshLook == 0 {
		look = Current
	}
	fi.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	rec, err := look(ctx, fi.Client, fi.Name)
	fi.Log.WithFields(logrus.Fields{"address": rec.Owner, "epoch": rec.Epoch, "error": err, "lease": fi.Name}).
		Info("looked for the holder")
	if err != nil {
		return ""
	}
	fi.mu.Lock()
	defer fi.mu.Unlock()
	fi.address = rec.Owner
	return rec.Owner
}

// Invalidate forgets a holder that can't be reached, or holds the name no longer.
func (fi *Resolver) Invalidate(address string, err error) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	if fi.address == address && address != "" {
		fi.address = ""
		fi.Log.WithFields(logrus.Fields{"address": address, "dependency": fi.Name, "error": err}).Warn("dependency lost")
	}
}
