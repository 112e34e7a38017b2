// Package call is the entry's HTTP edge for live calls: it checks them, routes
// them to attendants, tries again where that is safe, and answers callers.
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

// DefaultProgress is four times the interval at which attendants show signs of
// life.
const DefaultProgress = 2 * time.Second

// A Server handles live calls.
type Server struct {
	// DialFunc opens a connection to an attendant; over TCP if nil.
	DialFunc func(ctx context.Context, network, address string) (net.Conn, error)
	Log      *logrus.Logger
	// ProfileFunc returns the policy of a profile of a service, or of the
	// service's only profile for live calls if name is "". Its error is a
	// *outcome.Refusal.
	ProfileFunc func(service, name string) (Policy, error)
	// Progress bounds the silence of a connection to an attendant; default
	// DefaultProgress.
	Progress time.Duration
	// Quarantine holds calls under which endpoints ended; nil stands for one of the
	// server's own.
	Quarantine *quarantine.Table
	Routes     *route.Table
	Seed       uint64 // of the jitter of retries

	budgets map[string]*budget // by service
	mu      sync.Mutex
	once    sync.Once
	work    client
}

// A budget is the retry budget of a service, under the policy it was made for.
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

// start fills in what the fields leave out.
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
	se.work = newClient(se.DialFunc, se.Progress)
}

// Close closes the connections to attendants that no call uses.
func (se *Server) Close() { se.work.http.CloseIdleConnections() }

// budgetOf returns the retry budget of a service. A changed policy starts a
// new one.
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

// refuse answers a caller with a refusal.
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
