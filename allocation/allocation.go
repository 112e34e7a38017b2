// Package allocation brings between entries and the scheduler what live requests of
// customers may have: entries tell what they see, and are told how many places they may
// give each customer. What is decided is decided in package fairshare.
package allocation

import (
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/fairshare"
	"wisteriacroft/peer"
	"wisteriacroft/scale"
)

// tellMethod is the call by which an entry tells the holder what it has seen.
const tellMethod = "allotment.Tell"

// Times of telling.
const (
	// tellEvery is how often an entry tells while customers compete: what is decided
	// on it holds about as long as a few requests take.
	tellEvery = 500 * time.Millisecond
	// tellTimeout bounds one call.
	tellTimeout = 500 * time.Millisecond
	// shortFor is for how long endpoints count as short of places after one refused a
	// request.
	shortFor = 2 * time.Second
	// entryLife is for how long the holder counts with what an entry told, and an entry
	// with what it was told.
	entryLife = 3 * tellEvery
)

// ErrNotHolder means that the process doesn't decide now, or doesn't know enough yet.
var ErrNotHolder = errors.New("does not divide places")

// Codes returns the errors of this package that cross processes.
func Codes() []peer.Code { return []peer.Code{{Err: ErrNotHolder, Name: "not-allotment-holder"}} }

// A DemandRequest holds what an entry has seen since it told before.
type DemandRequest struct {
	Boot string // of the entry; changes with each of its starts
	// Demands are customers' of services; nil while none compete, so that nothing is
	// divided by them.
	Demands  map[string]fairshare.ServiceDemand
	Instance string                       `cbor:",omitempty"` // of the entry; stays when it starts anew
	Loads    map[string]scale.Observation `cbor:",omitempty"` // of plain services whose endpoints may be ordered
}

// A DemandResponse is what the entry may give.
type DemandResponse struct {
	Bounds  fairshare.Bounds
	Entries int // that tell
}
