package entry

import (
	"context"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"wisteriacroft/instancelist"
	"wisteriacroft/keyvalue"
	"wisteriacroft/process"
	"wisteriacroft/profile"
	"wisteriacroft/weightstore"
)

// Defaults of Options.
const (
	DefaultGrace     = 30 * time.Second
	DefaultLeaseTTL  = 10 * time.Second
	DefaultLinger    = 3 * time.Second
	DefaultTickEvery = 20 * time.Millisecond
)

// Options says where an Entry runs and how it reaches the platform. A zero
// field takes its default.
type Options struct {
	Address string // IP:port that other processes reach
	// DialFunc opens a connection to another process; over TCP if nil.
	DialFunc      func(ctx context.Context, address string) (net.Conn, error)
	FailureDomain string
	Grace         time.Duration // how long a shutdown waits for what runs
	Incarnation   uint64        // grows with each start
	Instance      string
	Instances     *instancelist.Client
	KeyValue      *keyvalue.Client
	LeaseTTL      time.Duration
	Linger        time.Duration // how long a shutdown goes on refusing before it stops listening
	Log           *logrus.Logger
	Metrics       *metrics.Set
	Peers         []string         // entries to ask while the instance list is away
	Profiles      *profile.Replica // the configuration in force
	Seed          uint64           // of the jitter and of routing
	TickEvery     time.Duration
	Weights       *weightstore.Client
}

// withDefaults returns the options with each zero field at its default.
func (op Options) withDefaults() Options {
	process.SetDefault(&op.Grace, DefaultGrace)
	process.SetDefault(&op.LeaseTTL, DefaultLeaseTTL)
	process.SetDefault(&op.Linger, DefaultLinger)
	process.SetDefault(&op.TickEvery, DefaultTickEvery)
	if op.Log == nil {
		op.Log = process.SilentLogger()
	}
	if op.Metrics == nil {
		op.Metrics = metrics.NewSet()
	}
	if op.Profiles == nil {
		op.Profiles = &profile.Replica{}
	}
	return op
}
