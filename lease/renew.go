package lease

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/keyvalue"
)

// renew renews the lease. Without a response the lease becomes Unconfirmed at its expiry; it ends
// only if the service reports that.
//
// Calls during an outage may never get a response, even after it. So that the end of the outage is
// detected before the call times out, the renewal is sent again every ProbeEvery, and the first
// response counts.
func (ho *Holder) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ho.TTL/renewals)
	defer cancel()
	gr := ho.current()
	sent, err := ho.probe(ctx, gr.lease)
	switch {
	case err == nil:
		ho.extend(gr.epoch, ho.expiry(sent))
	case errors.Is(err, keyvalue.ErrLeaseExpired):
		ho.unanswered = true // a lease expires only if renewals got no response
		ho.markExpired(gr.epoch)
		ho.log("lost the lease", gr.epoch, err)
	default:
		ho.unanswered = true
		ho.log("could not renew the lease", gr.epoch, err)
	}
}

// probe renews a lease, and returns when the renewal that got a response was sent.
func (ho *Holder) probe(ctx context.Context, id keyvalue.LeaseID) (time.Time, error) {
	if ho.ProbeEvery <= 0 {
		return time.Now(), ho.Client.KeepAlive(ctx, id)
	}
	type response struct {
		err  error
		sent time.Time
	}
	responses := make(chan response)
	ti := time.NewTicker(ho.ProbeEvery)
	defer ti.Stop()
	for {
		go func(sent time.Time) {
			re := response{err: ho.Client.KeepAlive(ctx, id), sent: sent}
			select {
			case responses <- re:
			case <-ctx.Done():
			}
		}(time.Now())
		for waiting := true; waiting; {
			select {
			case re := <-responses:
				if re.err == nil || errors.Is(re.err, keyvalue.ErrLeaseExpired) {
					return re.sent, re.err
				}
			case <-ti.C:
				waiting = false
			case <-ctx.Done():
				return time.Time{}, errors.Wrap(keyvalue.ErrUnavailable, ctx.Err().Error())
			}
		}
	}
}

// markExpired records that the service reported the lease as expired. The grant is kept until
// another holder is found.
func (ho *Holder) markExpired(epoch uint64) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if ho.grant.epoch == epoch {
		ho.grant.expired = true
	}
}

// extend sets the expiry of the grant of an epoch, unless it was replaced meanwhile.
func (ho *Holder) extend(epoch uint64, until time.Time) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if ho.grant.epoch == epoch {
		ho.grant.until = until
	}
}
