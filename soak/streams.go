package soak

import "math/rand/v2"

// Random streams. Each part draws from its own, so that a change of one part doesn't change
// the random choices of the others for the same seed.
const (
	faultsStream   = 7
	plainStream    = 11
	restartsStream = 13
	keysStream     = 17
	usageStream    = 19
	operatorStream = 23
	partsStream    = 29
	crowdStream    = 31
	quotaStream    = 37
)

// newStream returns a random source for a seed and a stream.
func newStream(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }
