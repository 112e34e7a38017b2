package forward

import (
	"net/http"
	"time"
)

// operatorHoldRetry is the Retry-After for customers held by an operator. Holds last minutes rather than
// seconds.
const operatorHoldRetry = 10 * time.Second

// operatorHold returns the rejection of a request whose customer is held by an operator, or nil. The
// request is rejected rather than queued, since a hold outlasts the deadline of live requests.
func (fo *Forwarder) operatorHold(customer string) *rejection {
	re, ok := fo.Directory.Holds().Customer(customer)
	if !ok || customer == "" {
		return nil
	}
	fo.access().Refused(customer)
	fo.Metrics.GetOrCreateCounter(`wisteriacroft_requests_held_by_operator_total`).Inc()
	return &rejection{
		reason: "customer " + customer + " is held by " + re.By + ": " + re.Why, retryAfter: operatorHoldRetry, status: http.StatusServiceUnavailable,
	}
}
