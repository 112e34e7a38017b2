// Package call serves live calls over HTTP at an entry. It validates them, routes them to
// attendants and retries them where that is safe.
package call

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"wisteriacroft/message"
	"wisteriacroft/outcome"
	"wisteriacroft/quarantine"
	"wisteriacroft/retry"
	"wisteriacroft/route"
)

// DefaultProgress is four times the interval at which attendants send progress.
const DefaultProgress = 2 * time.Second

// A Server serves live calls.
type Server struct {
	// DialFunc opens a connection to an attendant; over TCP if nil.
	DialFunc func(ctx context.Context, network, address string) (net.Conn, error)
	Log      *logrus.Logger
	// ProfileFunc returns the policy of a profile, or of the service's only profile for live calls
	// if name is "". Its error is a *outcome.Refusal.
	ProfileFunc func(service, name string) (Policy, error)
	// Progress is the maximum time without progress on a connection; default DefaultProgress.
	Progress time.Duration
	// Quarantine holds the calls during which endpoints ended; default a new table.
	Quarantine *quarantine.Table
	Routes     *route.Table
	Seed       uint64 // of the retry jitter

	budgets    map[string]*budget // by service
	mu         sync.Mutex
	once       sync.Once
	attendants client
}

// A budget is the retry budget of a service with the policy that it was created for.
type budget struct {
	*retry.Budget
	policy retry.Policy
}

// Register adds the routes of live calls.
func (se *Server) Register(ro *mux.Router) {
	se.once.Do(se.start)
	ro.HandleFunc(message.ServicePath, se.serveCall)
	ro.HandleFunc(message.EnginePath, se.serveGenerate).Methods(http.MethodPost)
	ro.HandleFunc(message.StreamsPath, se.serveStream).Methods(http.MethodPost)
}

// start sets the defaults of the fields.
func (se *Server) start() {
	if se.Progress <= 0 {
		se.Progress = DefaultProgress
	}
	if se.Log == nil {
		se.Log = logrus.StandardLogger()
	}
	if se.Quarantine == nil {
		se.Quarantine = &quarantine.Table{}
	}
	se.budgets = make(map[string]*budget)
	se.attendants = newClient(se.DialFunc, se.Progress)
}

// Close closes idle connections to attendants.
func (se *Server) Close() { se.attendants.http.CloseIdleConnections() }

// budgetOf returns the retry budget of a service. A changed policy creates a new one.
func (se *Server) budgetOf(po Policy) *retry.Budget {
	se.mu.Lock()
	defer se.mu.Unlock()
	bu := se.budgets[po.Service]
	if bu == nil || bu.policy != po.Retry {
		bu = &budget{Budget: retry.NewBudget(po.Retry, se.Seed), policy: po.Retry}
		se.budgets[po.Service] = bu
	}
	return bu.Budget
}

// refuse writes a refusal.
func (se *Server) refuse(rw http.ResponseWriter, service string, re *outcome.Refusal) {
	refusals(service, re.Code).Inc()
	se.Log.WithFields(logrus.Fields{
		"code":       re.Code,
		"fate":       re.Fate,
		"request-id": re.RequestID,
		"service":    service,
	}).Debug("call refused: " + re.Message)
	message.WriteRefusal(rw, re)
}
