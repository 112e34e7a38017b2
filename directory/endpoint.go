package directory

import (
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/incarnation"
)

// A ModelVersion is a model that an engine serves and the version of its weights.
type ModelVersion struct {
	Model   string
	Version uint64
}

// An Endpoint describes one incarnation of an endpoint's process. After a restart at the same
// address it has another ID, or the same ID and a later Incarnation.
type Endpoint struct {
	Address string // host:port
	Domain  string // failure domain
	ID      string
	// Incarnation is that of the process that wrote the entry; 0 means unknown.
	Incarnation incarnation.Number
	Leaving     bool // accepts no new work
	Models      []ModelVersion
	Revision    int64 // of its entry in the key-value service
	Service     string
	Slots       int
	WarmLeft    time.Duration // remaining warm-up time after its start
}

// Validation errors of endpoint entries in the key-value service.
var (
	errNoID      = errors.New("no id that a header can hold")
	errNoAddress = errors.New("address is not an IP address and port")
	errNoDomain  = errors.New("failure domain is empty")
	errNoService = errors.New("service is empty")
	errNoSlots   = errors.New("slots are not positive")
)

// Check returns an error if the endpoint cannot be used. Entries may come from other writers
// with fields missing; a request sent to such an endpoint would fail and use up one of its
// attempts.
func (en Endpoint) Check() error {
	if en.ID == "" || strings.ContainsFunc(en.ID, func(ru rune) bool { return ru <= ' ' || ru > '~' }) {
		return errNoID
	}
	if _, err := netip.ParseAddrPort(en.Address); err != nil {
		return errors.CombineErrors(errNoAddress, err)
	}
	switch {
	case en.Service == "":
		return errNoService
	case en.Domain == "":
		return errNoDomain
	case en.Slots <= 0:
		return errNoSlots
	}
	return nil
}

// Version returns the version of a model's weights, or 0 if it isn't served.
func (en *Endpoint) Version(model string) uint64 {
	for _, mv := range en.Models {
		if mv.Model == model {
			return mv.Version
		}
	}
	return 0
}

// changed reports whether another entry of the endpoint differs in more than the served
// versions.
func (en Endpoint) changed(other Endpoint) bool {
	return en.Address != other.Address || en.Domain != other.Domain || en.Leaving != other.Leaving ||
		en.Service != other.Service || en.Slots != other.Slots || en.Incarnation != other.Incarnation
}
