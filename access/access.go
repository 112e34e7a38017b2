// Package access authenticates callers: it maps the key in a request to a customer.
package access

import (
	"strings"

	"wisteriacroft/directory"
)

// A Verdict is the outcome of a check.
type Verdict int

// The verdicts.
const (
	// Allowed requests run for the customer of the grant.
	Allowed Verdict = iota
	// Denied requests have no valid key. A retry has the same outcome.
	Denied
	// Undetermined requests have a key that is not in this process's configuration, which may be missing or
	// out of date. A retry, or another process, may allow them.
	Undetermined
)

// A Reason is the reason for an outcome other than Allowed. It never contains the key.
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

// A Grant is the result of a check.
type Grant struct {
	Customer directory.Customer // zero if no key is required
	Outcome  Verdict
	Reason   Reason // "" if Allowed
}

// Priority returns the priority of the request on a route: that of the customer, if it has one, or else
// that of the route.
func (gr Grant) Priority(ro directory.Route) int {
	if gr.Customer.Ranked {
		return gr.Customer.Priority
	}
	return ro.Priority
}

// scheme is the required authentication scheme, compared case-insensitively.
const scheme = "Bearer"

// Decide checks the credentials of a request, the values of the header with the key. Those of public
// requests are ignored, so that an outdated key does not cause a rejection.
//
// Stale means that the configuration may be out of date. Known keys are still accepted, so that
// a process without updates keeps serving its callers. Unknown keys may have been added since, so they
// are Undetermined and not Denied, which callers treat as final.
func Decide(co *directory.Configuration, public bool, credentials []string, stale bool) Grant {
	if co == nil {
		return Grant{Outcome: Undetermined, Reason: NoConfiguration}
	}
	if len(co.Customers) == 0 || public {
		return Grant{}
	}
	key, reason := parseKey(credentials)
	if reason != "" {
		return Grant{Outcome: Denied, Reason: reason}
	}
	cu, ok := co.CustomerByKey(key)
	switch {
	case ok:
		return Grant{Customer: cu}
	case stale:
		return Grant{Outcome: Undetermined, Reason: KeyMaybeNewer}
	default:
		return Grant{Outcome: Denied, Reason: UnknownKey}
	}
}

// parseKey returns the key in credentials, or the reason why there is none.
func parseKey(credentials []string) (string, Reason) {
	switch {
	case len(credentials) == 0:
		return "", NoKey
	case len(credentials) > 1: // ambiguous
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
