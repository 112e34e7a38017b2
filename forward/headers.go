// Package forward forwards live requests from an entry to endpoints: it picks endpoints, retries and
// hedges attempts, and answers callers.
package forward

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Headers are the names of the HTTP headers exchanged between callers, entries and endpoints.
type Headers struct {
	Customer  string // to endpoints: the customer of the request
	Deadline  string // milliseconds until the caller gives up
	Expect    string // ID of the endpoint that the request is for; others reject it
	Key       string // the caller's key; not forwarded to endpoints
	LastEvent string // ID of the last event that the caller received
	Load      string // load reported by the endpoint
	NotRun    string // set if the endpoint did not run the request
	RequestID string
	Signature string // marks a response as the endpoint's own
}

// connectionHeaders are the hop-by-hop headers.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns the end-to-end headers.
func endToEnd(he http.Header) http.Header {
	out := he.Clone()
	for _, line := range he["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range connectionHeaders {
		out.Del(name)
	}
	return out
}

// identify sets the customer header, replacing any value from the caller since endpoints trust it,
// and removes the key if keys are in use.
func (hs Headers) identify(he http.Header, customer string, keys bool) {
	if keys {
		he.Del(hs.Key)
	}
	he.Del(hs.Customer)
	if customer != "" {
		he.Set(hs.Customer, customer)
	}
}

// parseDeadline parses the deadline header; it returns 0 if the value is missing or invalid.
func parseDeadline(text string) time.Duration {
	count, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil || count < 0 {
		return 0
	}
	return time.Duration(count) * time.Millisecond
}
