package access

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wisteriacroft/directory"
)

// Names of the counters by customer.
const (
	RefusalsMetric = "wisteriacroft_customer_refusals_total"
	RequestsMetric = "wisteriacroft_customer_requests_total"
)

const (
	// maxCounted is the maximum number of customers with their own label, which limits the number of
	// time series. Further customers share one label.
	maxCounted = 200
	// others is that label. No customer has an empty name.
	othersLabel = ""
)

// A Checker checks the keys of requests against the current configuration, and counts the outcomes.
// Fill the exported fields before use. It is safe for concurrent use.
type Checker struct {
	Directory *directory.Directory
	// Header is the name of the header with the key.
	Header  string
	Metrics *metrics.Set // may be nil

	mu      sync.Mutex
	counted map[string]bool // customers
}

// Check checks and counts a request with headers he.
func (ch *Checker) Check(co *directory.Configuration, public bool, he http.Header) Grant {
	gr := Decide(co, public, he.Values(ch.Header), ch.Directory.ConfigurationStale(time.Now()))
	ch.count(gr)
	return gr
}

// count counts the outcome of a check.
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

// Refused counts a rejected request of a customer.
func (ch *Checker) Refused(customer string) {
	if ch.Metrics != nil {
		ch.countFor(RefusalsMetric, customer)
	}
}

// countFor increments a counter of a customer, unless the request has none.
func (ch *Checker) countFor(metric, customer string) {
	if customer != "" {
		ch.Metrics.GetOrCreateCounter(fmt.Sprintf(`%s{customer=%q}`, metric, ch.label(customer))).Inc()
	}
}

// label returns the metric label of a customer.
func (ch *Checker) label(name string) string {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if !ch.counted[name] {
		if len(ch.counted) >= maxCounted {
			return othersLabel
		}
		if ch.counted == nil {
			ch.counted = map[string]bool{}
		}
		ch.counted[name] = true
	}
	return name
}
