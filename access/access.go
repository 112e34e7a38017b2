// Package access decides for which customer a request runs, by the key that its
// caller shows.
package access

import (
	"strings"

	"wisteriacroft/directory"
)

// A Verdict is what is done with a request.
type Verdict int

// The outcomes.
const (
	// Allowed requests run, for the customer that the grant names.
	Allowed Verdict = iota
	// Denied requests show no key that lets them run. Repeated, they get the same.
	Denied
	// Undetermined requests show a key that this process does not know, and may be behind
	// on: they have not run, and another process may know it.
	Undetermined
)

// A Reason says why a request got no grant. It never holds the key.
type Reason string

// The reasons.
const (
	NoConfiguration   Reason = "no configuration yet"
	NoKey             Reason = "the request shows no key"
	MultipleKeys      Reason = "the request shows more than one key"
	UnsupportedScheme Reason = "the request's key is not a bearer key"
	EmptyKey          Reason = "the request's key is empty"
	UnknownKey        Reason = "the request's key is unknown"
	KeyMaybeNewer     Reason = "the request's key may be newer than the configuration known here"
)

// A Grant is what a request may do.
type Grant struct {
	Customer directory.Customer // zero where no key is needed
	Outcome  Verdict
	Reason   Reason // unless Allowed
}

// Priority returns the priority of the grant's requests on a route.
func (gr Grant) Priority(ro directory.Route) int {
	if gr.Customer.Ranked {
		return gr.Customer.Priority
	}
	return ro.Priority
}

// scheme is the scheme of keys. Schemes are compared without regard to case.
const scheme = "Bearer"

// Decide decides on a request by its credentials, the values of the header that
// carries the key. Public requests need no key, and none is looked at: a caller that
// shows an old one would be refused what anyone may have.
//
// A key that is known here is believed, also if newsOld, that is if a newer
// configuration may be in force: the one known here may be the newest, and refused
// all callers of a process that is cut off would be turned away for nothing. A key
// that is not known is then no reason to deny, which callers take for final: it may
// have come with a configuration that the others have.
func Decide(co *directory.Configuration, public bool, credentials []string, newsOld bool) Grant {
	if co == nil {
		return Grant{Outcome: Undetermined, Reason: NoConfiguration}
	}
	if len(co.Customers) == 0 || public {
		return Grant{}
	}
	key, reason := parse(credentials)
	if reason != "" {
		return Grant{Outcome: Denied, Reason: reason}
	}
	cu, ok := co.CustomerByKey(key)
	switch {
	case ok:
		return Grant{Customer: cu}
	case newsOld:
		return Grant{Outcome: Undetermined, Reason: KeyMaybeNewer}
	default:
		return Grant{Outcome: Denied, Reason: UnknownKey}
	}
}

// parse returns the key that credentials show, or why there is none.
func parse(credentials []string) (string, Reason) {
	switch {
	case len(credentials) == 0:
		return "", NoKey
	case len(credentials) > 1: // which one would count is not the same everywhere
		return "", MultipleKeys
	}
	name, key, _ := strings.Cut(strings.TrimSpace(credentials[0]), " ")
	if !strings.EqualFold(name, scheme) {
		return "", UnsupportedScheme
	}
	if key = strings.TrimSpace(key); key == "" {
		return "", EmptyKey
	}
	return key, ""
}
