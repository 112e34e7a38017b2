// Package directory holds what a process believes of its deployment: the
// routes in force, and the endpoints that serve them. A Follower keeps it up to
// date from the key-value service; readers get one consistent view at a time.
package directory

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// A Kind says what a route's requests may bear.
type Kind string

// The kinds of routes.
const (
	Repeatable Kind = "repeatable" // running more than once does no harm
	AtMostOnce Kind = ""           // runs at most once for each request: safe for a kind that is not known
	Steps      Kind = "steps"      // whole steps of a trainer, kept and run later
)

// A Limits bounds what a caller may send. Zero fields mean no bound.
type Limits struct {
	BodySize      int64         // bytes
	HeaderSize    int           // bytes
	HeaderTimeout time.Duration // until a request's head is whole
	IdleTimeout   time.Duration // for a kept connection between two requests
}

// A WeightedService is a part of a route's requests that goes to a service.
type WeightedService struct {
	Service string
	Weight  int
}

// A Route says how the requests under a host and path prefix are served.
type Route struct {
	Due           time.Duration // a step's results are due this long after its submission
	Goal          time.Duration // an answer within it is worth the most
	Host          string
	Kind          Kind
	MaxAttempts   int           // endpoints to which one request may be sent; 0 means 1
	MaxWait       time.Duration // a step's item may be given up after it
	Name          string
	Prefix        string // begins and ends with a slash
	Priority      int    // 0 goes first
	Public        bool   // callers need no key
	Resumable     bool   // a broken stream may go on at another endpoint
	Shares        []WeightedService
	SingleVersion bool // one version of the weights makes a whole sample
	Sticky        bool // requests with the same prompt prefix do best at one endpoint
	Streaming     bool // the answer is a series of events
	Timeout       time.Duration
}

// StepService returns the service that runs the items of the route's steps, or
// "". A step's items share their prompts, so that one service runs them all.
func (ro Route) StepService() string {
	if len(ro.Shares) == 0 {
		return ""
	}
	return ro.Shares[0].Service
}

// A Model is one that a service's engines serve.
type Model struct{ Name string }

// A Service is a group of endpoints that serve the same requests.
type Service struct {
	HealthPath string
	MaxConns   int // connections that an endpoint accepts from all its clients
	Models     []Model
	Name       string
	Scale      *Scale // within which endpoints may be ordered; nil if they may not
	Slots      int    // requests that an engine runs at once; 0 for plain services
	Tokens     int    // memory of an engine, in tokens; 0 for plain services
}

// ScalesEngines reports whether the service's endpoints may be ordered and are engines.
func (se Service) ScalesEngines() bool { return se.Scale != nil && len(se.Models) > 0 }

// ScalesPlain reports whether the service's endpoints may be ordered and are no engines.
func (se Service) ScalesPlain() bool { return se.Scale != nil && len(se.Models) == 0 }

// A Scale bounds how many endpoints of a service each failure domain may have.
type Scale struct {
	Startup time.Duration // until a new one serves; 0 means unknown
	Max     int
	Min     int
}

// Check returns why the bounds make no sense, or nil.
func (sc Scale) Check() error {
	if sc.Startup < 0 || sc.Min < 0 || sc.Max < max(sc.Min, 1) {
		return errNoScale
	}
	return nil
}

var errNoScale = errors.New("bounds of endpoints make no sense")

// A Configuration is everything that operators have put in force, as one
// version.
type Configuration struct {
	// Customers hold keys. Without any, no caller needs one.
	Customers []Customer
	Limits    Limits
	Routes    []Route
	Services  []Service
	// Unread names the optional parts that could not be read and count as absent. Who reads
	// the configuration logs them; those who are fed need not.
	Unread  []string `cbor:"-"`
	Version int64
}

// Route returns the route with the longest prefix of path among those of host.
func (co *Configuration) Route(host, path string) (Route, bool) {
	var best *Route
	for i := range co.Routes {
		ro := &co.Routes[i]
		if ro.Host != host || !strings.HasPrefix(path, ro.Prefix) {
			continue
		}
		if best == nil || len(ro.Prefix) > len(best.Prefix) {
			best = ro
		}
	}
	if best == nil {
		return Route{}, false
	}
	return *best, true
}

// Service returns the service of a name.
func (co *Configuration) Service(name string) (Service, bool) {
	for _, se := range co.Services {
		if se.Name == name {
			return se, true
		}
	}
	return Service{}, false
}
