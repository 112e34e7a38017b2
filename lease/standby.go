package lease

import (
	"context"
	"time"

	"wisteriacroft/keyvalue"
)

// standByWait is how long one call waits for a change of the record. A dead connection is detected
// at its end at the latest.
const standByWait = 4 * time.Second

// suspectInterval is the interval of calls of SuspectFunc.
const suspectInterval = 300 * time.Millisecond

// standBy waits until the lease may be free: the record of its holder has changed or was deleted,
// or the holder is suspected to be dead.
//
// Compared with polling it needs fewer calls, which are billed, and reacts sooner.
func (ho *Holder) standBy(ctx context.Context, rec Record) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	changed := make(chan struct{})
	var err error
	go func() {
		defer close(changed)
		err = ho.watch(ctx, rec)
	}()
	ti := time.NewTicker(suspectInterval)
	defer ti.Stop()
	for {
		select {
		case <-changed:
			if err != nil && ctx.Err() == nil {
				ho.setLostHolder(rec)
			}
			// All standbys are notified together; the phase decides which tries first.
			pause(ctx, ho.phase()/phaseDivisor)
			return
		case <-ti.C:
			if ho.SuspectFunc != nil && ho.SuspectFunc(rec.Owner) {
				ho.setSuspected(rec)
				return
			}
		}
	}
}

// watch returns when the holder's record is no longer the given one. It pauses before it returns
// an error.
//
// It follows changes from its own scan on, not from the record's version, as the service keeps its
// history only for some seconds.
func (ho *Holder) watch(ctx context.Context, rec Record) error {
	key := leaseKey(ho.Name)
	ch, err := ho.scan(ctx, key)
	if err == nil && len(ch.Items) == 0 {
		return nil // the lease is free already
	}
	for err == nil && ho.unchanged(ch, rec) {
		ch, err = ho.follow(ctx, key, ch.Version)
	}
	if err != nil {
		pause(ctx, ho.TTL/renewals)
	}
	return err
}

// unchanged reports whether changes leave the record of the name unchanged.
func (ho *Holder) unchanged(ch keyvalue.Changes, rec Record) bool {
	for _, it := range ch.Items {
		if now, err := decode(it); it.Key == leaseKey(ho.Name) && (err != nil || now != rec) {
			return false
		}
	}
	return true
}

// scan reads the name's key. It has a timeout because a lost response would block the standby
// forever.
func (ho *Holder) scan(ctx context.Context, key string) (keyvalue.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, ho.TTL)
	defer cancel()
	return ho.Client.Scan(ctx, key)
}

func (ho *Holder) follow(ctx context.Context, key string, after int64) (keyvalue.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, standByWait+ho.TTL/renewals)
	defer cancel()
	ch, err := ho.Client.Follow(ctx, key, after, standByWait)
	ch.Version = max(ch.Version, after)
	return ch, err
}

// phaseDivisor shortens the phase to the time that a standby waits once a lease is free, so that
// not all try to acquire it at once.
const phaseDivisor = 10

// OtherHolder returns the address of another process that holds the name, as last read, or "".
func (ho *Holder) OtherHolder() string { return ho.other().Owner }

// other returns the record of another holder, as last read, or the zero Record.
func (ho *Holder) other() Record {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if ho.grant.epoch != 0 {
		return Record{}
	}
	return ho.otherRecord
}

// setOther sets the record of another holder, as last read.
func (ho *Holder) setOther(rec Record) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.otherRecord = rec
}

// setLostHolder records who held the name when the service became unavailable.
func (ho *Holder) setLostHolder(rec Record) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.lostHolder = rec
}

// setSuspected records that the holder of a record is suspected to be dead.
func (ho *Holder) setSuspected(rec Record) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.suspectedID = rec.ID
}

func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
