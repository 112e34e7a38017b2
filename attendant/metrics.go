package attendant

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"wisteriacroft/outcome"
)

// Values of the result label.
const (
	resultFailed  = "failed"
	resultNotSent = "not-sent"
	resultRefused = "refused"
	resultTaken   = "taken"
	resultUnknown = "unknown"
	resultWhole   = "whole"
)

// An endpointMetrics holds the metrics of one endpoint.
type endpointMetrics struct {
	crossed  *metrics.Counter
	endpoint string
	set      *metrics.Set
}

// newEndpointMetrics registers an endpoint's metrics in a set.
func newEndpointMetrics(se *metrics.Set, en *endpoint) *endpointMetrics {
	em := &endpointMetrics{endpoint: en.name, set: se}
	em.crossed = se.GetOrCreateCounter(em.name("crossed_answers_total", ""))
	se.GetOrCreateGauge(em.name("requests_running", ""), func() float64 { return float64(en.gate.Load().Running) })
	se.GetOrCreateGauge(em.name("requests_waiting", ""), func() float64 { return float64(en.gate.Load().Waiting) })
	if en.plain != nil {
		se.GetOrCreateGauge(em.name("keys", ""), func() float64 { return float64(en.keys.Len()) })
		se.GetOrCreateGauge(em.name("unsettled_homes", ""), func() float64 { return float64(len(en.keys.PendingYields())) })
	} else {
		se.GetOrCreateGauge(em.name("version", ""), func() float64 { return float64(en.currentVersion()) })
	}
	return em
}

// name returns the full name of a metric, with the endpoint's label.
func (em *endpointMetrics) name(metric, labels string) string {
	return fmt.Sprintf("wisteriacroft_attendant_%s{endpoint=%q%s}", metric, em.endpoint, labels)
}

// order counts an order.
func (em *endpointMetrics) order(result string) {
	em.set.GetOrCreateCounter(em.name("orders_total", fmt.Sprintf(",result=%q", result))).Inc()
}

// refusal counts a refusal.
func (em *endpointMetrics) refusal(re *outcome.Refusal) {
	em.set.GetOrCreateCounter(em.name("refusals_total", fmt.Sprintf(",code=%q", re.Code))).Inc()
}

// sample counts a sample.
func (em *endpointMetrics) sample(result string) {
	em.set.GetOrCreateCounter(em.name("samples_total", fmt.Sprintf(",result=%q", result))).Inc()
}
