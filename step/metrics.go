package step

import "fmt"

// measureRoom tells how much of each service's room trainers ask for. A service of which no
// step was open for a while has no figures.
func (sc *Scheduler) measureRoom(ta *Table) {
	rooms := ta.ServiceLoads()
	for service, rl := range rooms {
		sc.Metrics.GetOrCreateGauge(roomGauge(loadGauge, service), nil).Set(rl.Load)
		sc.Metrics.GetOrCreateGauge(roomGauge(crowdedGauge, service), nil).Set(float64(boolInt(rl.Crowded)))
	}
	for service := range sc.measuredServices {
		if _, ok := rooms[service]; !ok {
			sc.Metrics.UnregisterMetric(roomGauge(loadGauge, service))
			sc.Metrics.UnregisterMetric(roomGauge(crowdedGauge, service))
		}
	}
	sc.measuredServices = rooms
}

// The gauges of services' rooms.
const (
	crowdedGauge = "wisteriacroft_steps_crowded"
	loadGauge    = "wisteriacroft_step_load"
)

func roomGauge(name, service string) string { return fmt.Sprintf("%s{service=%q}", name, service) }

// measureCustomers tells how many customers compete, and how far one is ahead at most.
func (sc *Scheduler) measureCustomers(ta *Table) {
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
