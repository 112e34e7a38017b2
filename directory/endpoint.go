package directory

import "time"

// A Serving is a model and the version of its weights that an engine serves.
type Serving struct {
	Model   string
	Version uint64
}

// An Endpoint is one start of an endpoint's process. The next start at the same
// address has another ID.
type Endpoint struct {
	Address  string // host:port
	Domain   string // failure domain
	ID       string
	Leaving  bool // takes no new work
	Models   []Serving
	Revision int64 // of its entry in the key-value service
	Service  string
	Slots    int
	WarmLeft time.Duration // how much longer it stays slow after its start
}

// Version returns the version of a model's weights, or 0 if it isn't served.
func (en *Endpoint) Version(model string) uint64 {
	for _, se := range en.Models {
		if se.Model == model {
			return se.Version
		}
	}
	return 0
}

// differs reports whether another entry of the endpoint says more than which
// versions it serves.
func (en Endpoint) differs(other Endpoint) bool {
	return en.Address != other.Address || en.Domain != other.Domain || en.Leaving != other.Leaving ||
		en.Service != other.Service || en.Slots != other.Slots
}
