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
	waiting, cancel := context.WithTimeout(ctx, ho.TTL/renewals)
	defer cancel()
	gr := ho.current()
	err := ho.probe(ctx, waiting, gr)
	switch {
	case err == nil:
	case errors.Is(err, keyvalue.ErrLeaseExpired):
		ho.unanswered = true // a lease expires only if renewals got no response
		ho.markExpired(gr.epoch)
		ho.log("lost the lease", gr.epoch, err)
	default:
		ho.unanswered = true
		ho.log("could not renew the lease", gr.epoch, err)
	}
}

// probe renews the lease of a grant and waits for the response until waiting ends.
//
// Responses that arrive later still extend the lease, up to its time to live after their renewal was
// sent. An overloaded process may get each response a second late, and would lose its lease though
// the service renews it.
func (ho *Holder) probe(ctx, waiting context.Context, gr grant) error {
	if ho.ProbeEvery <= 0 {
		return ho.keepAlive(waiting, gr)
	}
	responses := make(chan error)
	ti := time.NewTicker(ho.ProbeEvery)
	defer ti.Stop()
	for {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, ho.TTL)
			defer cancel()
			err := ho.keepAlive(ctx, gr)
			select {
			case responses <- err:
			case <-waiting.Done():
			}
		}()
		for next := false; !next; {
			select {
			case err := <-responses:
				if err == nil || errors.Is(err, keyvalue.ErrLeaseExpired) {
					return err
				}
			case <-ti.C:
				next = true
			case <-waiting.Done():
				return errors.Wrap(keyvalue.ErrUnavailable, waiting.Err().Error())
			}
		}
	}
}

// keepAlive sends one renewal, and extends the grant by its response.
func (ho *Holder) keepAlive(ctx context.Context, gr grant) error {
	sent := time.Now()
	err := ho.Client.KeepAlive(ctx, gr.lease)
	if err == nil {
		ho.extend(gr.epoch, ho.expiry(sent))
	}
	return err
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

// extend sets the expiry of the grant of an epoch, unless the grant was replaced or extended further
// meanwhile.
func (ho *Holder) extend(epoch uint64, until time.Time) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if ho.grant.epoch == epoch && until.After(ho.grant.until) {
		ho.grant.until = until
	}
}
