package standby

import (
	"github.com/cockroachdb/errors"

	"wisteriacroft/peer"
)

// reportMethod is the RPC method by which a process reports to the holder of the lease.
const reportMethod = "standby.Report"

// errNotHolder means that the called process doesn't hold the lease.
var errNotHolder = errors.New("does not hold the lease")

// Codes returns the errors of this package that are sent to peers, with their wire names.
func Codes() []peer.Code { return []peer.Code{{Err: errNotHolder, Name: "not-holder"}} }

// A Report tells the holder of the lease of a process that doesn't hold it. The holder responds when
// the process must do something, or after reportWait.
type Report struct {
	Address  string // IP:port of the process
	Domain   string // its failure domain
	Instance string
	Retiring bool `cbor:",omitempty"` // it no longer acquires the lease, as its instance is to be retired
	Standing bool `cbor:",omitempty"` // it stands by
}

// An Assignment is the response to a Report.
type Assignment struct {
	Retire  bool `cbor:",omitempty"` // an operator asks to retire the instance
	StandBy bool `cbor:",omitempty"` // the process has to stand by; if not, it is idle
}
