// Package weightstore is the client of the store of model weights.
package weightstore

import (
	"context"

	"wisteriacroft/engine"
)

// A Client calls the store. Tests can replace its functions.
type Client struct {
	// LatestFunc returns the newest published version of a model, or 0.
	LatestFunc func(ctx context.Context, model string) (engine.Version, error)
	// RateFunc returns the maximum number of engines that may fetch weights concurrently.
	RateFunc func(ctx context.Context) (int, error)
}
