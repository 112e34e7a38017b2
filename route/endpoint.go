package route

import "wisteriacroft/engine"

// A State says whether an endpoint accepts new requests.
type State string

// The states. The zero State counts as Ready.
const (
	Leaving State = "leaving"
	Ready   State = "ready"
	// Suspect is an endpoint that does not respond. It gets requests only if there is no other, since
	// the network on this side may be at fault.
	Suspect State = "suspect"
)

// An Endpoint is an endpoint as listed in the table.
type Endpoint struct {
	Address       string // IP:port
	FailureDomain string
	ID            string
	Service       string
	State         State
	Version       engine.Version // observed; 0 for plain services
}

// A Load is the load that an endpoint reports.
type Load struct {
	Limit   int // maximum running requests; 0 if not known
	Running int
	Waiting int
}

// AnyFailureDomain is the FailureDomain of a Need without a preference.
const AnyFailureDomain = "*"

// A Need holds the requirements of a request for its endpoint.
type Need struct {
	Exclude       []string // IDs of endpoints already tried
	FailureDomain string   // preferred; "" means Options.FailureDomain
	MinVersion    engine.Version
	Prefix        string  // key of a shared prompt prefix, or ""
	Room          float64 // load, as a fraction of its limit, that the endpoint must be below; 0 means no limit
	Service       string
}
