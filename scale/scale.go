// Package scale is an autoscaler: by load, it orders the number of endpoints of each service in each
// failure domain, within the bounds of the configuration.
//
// Service.Desired computes the demand from the load and its deadlines, Table adds hysteresis, and
// Spread divides it among failure domains; these do no I/O. A Scaler saves and sends the orders.
package scale

import (
	"cmp"
	"time"
)

// A Subject is a service in a failure domain, the unit of scaling.
type Subject struct {
	Domain  string `json:"domain"`
	Service string `json:"service"`
}

func compareSubjects(a, b Subject) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Domain, b.Domain))
}

// Bounds limit the number of endpoints in a failure domain.
type Bounds struct {
	Startup time.Duration // from an order until a new endpoint serves; 0 means unknown
	Max     int
	Min     int
}

// defaultStartup is used if the configuration sets no startup time.
const defaultStartup = 5 * time.Second

// startup returns the time until a new endpoint serves.
func (bo Bounds) startup() time.Duration {
	if bo.Startup <= 0 {
		return defaultStartup
	}
	return bo.Startup
}

// clamp returns a number within the bounds.
func (bo Bounds) clamp(count int) int { return min(max(count, bo.Min), bo.Max) }

// A Service is a snapshot of a service.
type Service struct {
	Bounds  Bounds
	Domains map[string]int // serving endpoints by failure domain
	Held    bool           // by an operator: nothing is ordered
	Name    string
	Places  int // slots of one endpoint
	// Slack is the relative increase of load that must still fit before the service is scaled
	// down. It tolerates random variation of the load.
	Slack   float64
	Unknown bool // its load is unknown, and nothing is ordered
	Work    Work // open work
}

// serving returns the total number of serving endpoints.
func (se Service) serving() int {
	total := 0
	for _, count := range se.Domains {
		total += count
	}
	return total
}
