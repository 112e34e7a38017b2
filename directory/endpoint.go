package directory

import (
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/incarnation"
)

// A ModelVersion is a model and the version of its weights that an engine serves.
type ModelVersion struct {
	Model   string
	Version uint64
}

// An Endpoint is one start of an endpoint's process. The next start at the same
// address may have another ID, or the same one and a later Incarnation.
type Endpoint struct {
	Address string // host:port
	Domain  string // failure domain
	ID      string
	// Incarnation is the start that wrote the entry.
	Incarnation incarnation.Number
	Leaving     bool // takes no new work
	Models      []ModelVersion
	Revision    int64 // of its entry in the key-value service
	Service     string
	Slots       int
	WarmLeft    time.Duration // how much longer it stays slow after its start
}

// Errors of entries in the key-value service that name no endpoint.
var (
	errNoID      = errors.New("no id that a header can hold")
	errNoAddress = errors.New("address is no IP number and port")
	errNoDomain  = errors.New("no failure domain")
	errNoService = errors.New("no service")
	errNoSlots   = errors.New("no slots")
)

// Check returns what keeps the endpoint from being used. Entries may come from
// other writers, with fields missing: a request to half an endpoint fails, and
// takes an attempt from its caller.
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
		en.Service != other.Service || en.Slots != other.Slots || en.Incarnation != other.Incarnation
}
