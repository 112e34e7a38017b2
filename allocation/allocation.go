// Package allocation limits customers across all entries: entries report demand to the scheduler that
// holds the lease, which returns their limits of slots per customer, and grants them tokens of quotas.
// Packages fairshare and quota make the decisions.
package allocation

import (
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/fairshare"
	"wisteriacroft/peer"
	"wisteriacroft/scale"
)

// reportMethod is the RPC method for reports of entries.
const reportMethod = "allotment.Tell"

// Times of reports.
const (
	// reportInterval is the interval between reports while customers compete.
	reportInterval = 500 * time.Millisecond
	// reportTimeout is the timeout of a report.
	reportTimeout = 500 * time.Millisecond
	// shortFor is how long a service counts as short of slots after a rejection.
	shortFor = 2 * time.Second
	// reportTTL is how long a report is valid at the holder, and its answer at the entry.
	reportTTL = 3 * reportInterval
)

// ErrNotHolder means that the process does not hold the lease, or not for long enough to decide.
var ErrNotHolder = errors.New("does not divide places")

// Codes returns the errors of this package that are sent between processes.
func Codes() []peer.Code { return []peer.Code{{Err: ErrNotHolder, Name: "not-allotment-holder"}} }

// A DemandRequest is an entry's report for the time since its previous one.
type DemandRequest struct {
	Boot string // ID of the entry's process, new at each start
	// Demands are the demands of customers by service; nil while none compete.
	Demands  map[string]fairshare.ServiceDemand
	Instance string                       `cbor:",omitempty"` // of the entry; kept across restarts
	Loads    map[string]scale.Observation `cbor:",omitempty"` // of scaled plain services
}

// A DemandResponse is the holder's answer to a report.
type DemandResponse struct {
	Bounds  fairshare.Bounds // limits of the entry
	Entries int              // that report demands
}
