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

// Default values of Options.
const (
	DefaultGrace     = 30 * time.Second
	DefaultLeaseTTL  = 10 * time.Second
	DefaultLinger    = 3 * time.Second
	DefaultTickEvery = 20 * time.Millisecond
)

// Options configure an Entry. A zero field takes its default.
type Options struct {
	Address string // IP:port that other processes reach
	// DialFunc opens a connection to another process; nil means TCP.
	DialFunc      func(ctx context.Context, address string) (net.Conn, error)
	FailureDomain string
	Grace         time.Duration // maximum duration of a shutdown
	Incarnation   uint64        // increases with each start
	Instance      string
	Instances     *instancelist.Client
	KeyValue      *keyvalue.Client
	LeaseTTL      time.Duration
	Linger        time.Duration // time between the start of a shutdown and closing the listener
	Log           *logrus.Logger
	Metrics       *metrics.Set
	Peers         []string         // entries used until the instance list has been read
	Profiles      *profile.Replica // the current configuration
	Seed          uint64           // of the jitter and of routing
	TickEvery     time.Duration
	Weights       *weightstore.Client
}

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
