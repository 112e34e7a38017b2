package access

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wisteriacroft/directory"
)

// Names of the counters of customers.
const (
	RefusalsMetric = "wisteriacroft_customer_refusals_total"
	RequestsMetric = "wisteriacroft_customer_requests_total"
)

const (
	// maxCounted is how many customers are counted by name, so that a deployment of
	// thousands does not swell what is collected. The others are counted as one.
	maxCounted = 200
	// others is the name under which they are. No customer has an empty name.
	others = ""
)

// A Checker decides on requests by what a process knows, and counts them. Fill the
// exported fields before use.
type Checker struct {
	Directory *directory.Directory
	// Header is the name of the header that carries keys.
	Header  string
	Metrics *metrics.Set

	mu      sync.Mutex
	counted map[string]bool // customers
}

// Check decides on a request.
func (ch *Checker) Check(co *directory.Configuration, public bool, he http.Header) Grant {
	gr := Decide(co, public, he.Values(ch.Header), ch.Directory.ConfigurationStale(time.Now()))
	ch.count(gr)
	return gr
}

// count counts a request. Metrics may be nil.
func (ch *Checker) count(gr Grant) {
	if ch.Metrics == nil {
		return
	}
	switch {
	case gr.Outcome != Allowed:
		ch.Metrics.GetOrCreateCounter(fmt.Sprintf(`wisteriacroft_requests_without_grant_total{reason=%q}`, gr.Reason)).Inc()
	default:
		ch.countFor(RequestsMetric, gr.Customer.Name)
	}
}

// Refused counts a customer's request that did not run.
func (ch *Checker) Refused(customer string) {
	if ch.Metrics != nil {
		ch.countFor(RefusalsMetric, customer)
	}
}

// countFor counts something of a customer. Requests that need no key are of none.
func (ch *Checker) countFor(metric, customer string) {
	if customer != "" {
		ch.Metrics.GetOrCreateCounter(fmt.Sprintf(`%s{customer=%q}`, metric, ch.label(customer))).Inc()
	}
}

// label returns the name under which a customer is counted.
func (ch *Checker) label(name string) string {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if !ch.counted[name] {
		if len(ch.counted) >= maxCounted {
			return others
		}
		if ch.counted == nil {
			ch.counted = map[string]bool{}
		}
		ch.counted[name] = true
	}
	return name
}
