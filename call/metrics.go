package call

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"wisteriacroft/outcome"
)

// counter returns a counter labeled with a service.
func counter(name, service string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("wisteriacroft_call_%s_total{service=%q}", name, service))
}

// answered counts calls with a complete answer.
func answered(service string) *metrics.Counter { return counter("answered", service) }

// attempts counts requests sent to attendants.
func attempts(service string) *metrics.Counter { return counter("attempts", service) }

// mismatched counts dropped answers and chunks of other requests.
func mismatched(service string) *metrics.Counter { return counter("crossed", service) }

// stalled counts connections abandoned after their progress timeout.
func stalled(service string) *metrics.Counter { return counter("silent", service) }

// resumed counts streams resumed at another endpoint.
func resumed(service string) *metrics.Counter { return counter("resumed", service) }

// refusals counts refused calls by code.
func refusals(service string, code outcome.Code) *metrics.Counter {
	return metrics.GetOrCreateCounter(
		fmt.Sprintf("wisteriacroft_call_refusals_total{code=%q,service=%q}", string(code), service))
}
