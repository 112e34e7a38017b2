package allocation

import (
	"context"

	"github.com/cockroachdb/errors"

	"wisteriacroft/lease"
	"wisteriacroft/peer"
)

// callHolder makes a call to the holder of the lease. After a failure the next call looks the holder up
// again, unless the holder answered with ErrNotHolder.
func callHolder[Req, Resp any](ctx context.Context, fi *lease.Resolver, po *peer.Pool, method string, rq Req) (Resp, error) {
	address := fi.Address(ctx)
	if address == "" {
		var none Resp
		return none, errors.Wrap(ErrNotHolder, "no holder is known")
	}
	re, err := peer.Call[Req, Resp](ctx, po, address, method, rq)
	if err != nil && !errors.Is(err, ErrNotHolder) {
		fi.Invalidate(address, err)
	}
	return re, err
}
