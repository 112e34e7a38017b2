package step

import "fmt"

// updateCapacityMetrics sets the gauges of each service's load. It removes the gauges of services that no longer have
// open steps.
func (sc *Scheduler) updateCapacityMetrics(ta *Table) {
	loads := ta.ServiceLoads()
	for service, sl := range loads {
		sc.Metrics.GetOrCreateGauge(serviceGauge(loadGauge, service), nil).Set(sl.Load)
		sc.Metrics.GetOrCreateGauge(serviceGauge(overloadedGauge, service), nil).Set(float64(boolInt(sl.Crowded)))
	}
	for service := range sc.measuredServices {
		if _, ok := loads[service]; !ok {
			sc.Metrics.UnregisterMetric(serviceGauge(loadGauge, service))
			sc.Metrics.UnregisterMetric(serviceGauge(overloadedGauge, service))
		}
	}
	sc.measuredServices = loads
}

// Gauges by service.
const (
	overloadedGauge = "wisteriacroft_steps_crowded"
	loadGauge       = "wisteriacroft_step_load"
)

func serviceGauge(name, service string) string { return fmt.Sprintf("%s{service=%q}", name, service) }

// updateCustomerMetrics sets the gauges of the competing customers: their number, and how far the first is ahead.
func (sc *Scheduler) updateCustomerMetrics(ta *Table) {
	count, most := ta.usage.account.Spread()
	sc.Metrics.GetOrCreateGauge(`wisteriacroft_customers_competing`, nil).Set(float64(count))
	sc.Metrics.GetOrCreateGauge(`wisteriacroft_customer_ahead_seconds`, nil).Set(most)
}

func boolInt(yes bool) int {
	if yes {
		return 1
	}
	return 0
}
