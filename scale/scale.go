// Package scale orders endpoints by load: how many of a service each failure domain is to
// have, between the bounds that the configuration in force sets.
//
// What decides talks to nothing: Service.Desired turns load and due times into a number, Table
// holds it steady, Spread gives each failure domain its part. The Scaler keeps what is
// decided and sends it, as the one process that may.
package scale

import (
	"cmp"
	"time"
)

// A Subject is a service in a failure domain, which is ordered by itself.
type Subject struct {
	Domain  string `json:"domain"`
	Service string `json:"service"`
}

func compareSubjects(a, b Subject) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Domain, b.Domain))
}

// Bounds are how many endpoints a failure domain may have.
type Bounds struct {
	Startup time.Duration // from an order to the first work of a new endpoint; 0 means unknown
	Max     int
	Min     int
}

// usualStartup is assumed where the configuration says nothing.
const usualStartup = 5 * time.Second

// startup returns how long a new endpoint takes to serve.
func (bo Bounds) startup() time.Duration {
	if bo.Startup <= 0 {
		return usualStartup
	}
	return bo.Startup
}

// clamp returns a number within the bounds.
func (bo Bounds) clamp(count int) int { return min(max(count, bo.Min), bo.Max) }

// A Service is what is known of a service at one moment.
type Service struct {
	Bounds  Bounds
	Domains map[string]int // endpoints that serve, by failure domain
	Held    bool           // by an operator: it is watched, and nothing is ordered
	Name    string
	Places  int // of one endpoint
	// Slack is the part by which more load must fit into fewer endpoints for some to be
	// given away. Load that is seen as it comes, by the second, is not the same twice.
	Slack   float64
	Unknown bool // nothing is known of its load, and nothing is decided
	Work    Work // that is open
}

// serving returns how many endpoints serve in all.
func (se Service) serving() int {
	total := 0
	for _, count := range se.Domains {
		total += count
	}
	return total
}
