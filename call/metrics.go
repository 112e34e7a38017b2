package call

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"wisteriacroft/outcome"
)

// counter returns the counter of a service.
func counter(name, service string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("wisteriacroft_call_%s_total{service=%q}", name, service))
}

// answered counts calls that got their whole answer.
func answered(service string) *metrics.Counter { return counter("answered", service) }

// attempts counts what was sent to attendants.
func attempts(service string) *metrics.Counter { return counter("attempts", service) }

// crossed counts answers and chunks of other requests, which were dropped.
func crossed(service string) *metrics.Counter { return counter("crossed", service) }

// silent counts connections abandoned because nothing came over them.
func silent(service string) *metrics.Counter { return counter("silent", service) }

// resumed counts streams that went on at another endpoint.
func resumed(service string) *metrics.Counter { return counter("resumed", service) }

// refusals counts the refusals that callers got.
func refusals(service string, code outcome.Code) *metrics.Counter {
	return metrics.GetOrCreateCounter(
		fmt.Sprintf("wisteriacroft_call_refusals_total{code=%q,service=%q}", string(code), service))
}
