package attendant

import (
	"context"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"wisteriacroft/blob"
	"wisteriacroft/engine"
	"wisteriacroft/instancelist"
	"wisteriacroft/plainservice"
	"wisteriacroft/process"
	"wisteriacroft/profile"
)

// Defaults of Options.
const (
	DefaultGrace         = 2 * time.Minute
	DefaultLinger        = 3 * time.Second
	DefaultMaxAnswerSize = 8 << 20
	DefaultMaxBodySize   = 1 << 20
	DefaultPartialAge    = 5 * time.Minute
	DefaultPartialTokens = 4 << 20
	DefaultProgressEvery = 500 * time.Millisecond
	DefaultReportEvery   = time.Second
	DefaultReportTimeout = 5 * time.Second
	DefaultRunBound      = 5 * time.Minute
	DefaultSampleEvery   = 2 * time.Second
	DefaultStallBound    = 30 * time.Second
	DefaultTickEvery     = 10 * time.Millisecond
)

// Options says what an Attendant serves and within which bounds. A zero field
// takes its default.
type Options struct {
	Address string // IP:port that other processes reach
	// DialFunc opens a connection to another process; over TCP if nil.
	DialFunc      func(ctx context.Context, address string) (net.Conn, error)
	Endpoints     []EndpointOptions
	Entries       []string // addresses of entries, for while the platform's list is away
	FailureDomain string
	Grace         time.Duration // how long a shutdown waits for what runs
	Incarnation   uint64        // grows with each start
	Instance      string
	Instances     *instancelist.Client // platform's list; nil if there is none
	Linger        time.Duration        // how long a shutdown goes on refusing, so that entries hear of it
	Log           *logrus.Logger
	MaxAnswerSize int // of a plain service's answer, in bytes
	MaxBodySize   int // of a request, in bytes
	Metrics       *metrics.Set
	PartialAge    time.Duration    // how long the tokens of an ended attempt are kept
	PartialTokens int              // how many tokens of ended attempts are kept
	Profiles      *profile.Replica // the configuration in force
	ProgressEvery time.Duration    // between the signs of life of a live answer
	ReportEvery   time.Duration    // between the reports that are read from an endpoint
	ReportTimeout time.Duration
	RunBound      time.Duration // of a request that goes on without its caller
	SampleEvery   time.Duration // between the signs of life of an attempt
	Seed          uint64        // of the jitter and of tokens
	StallBound    time.Duration // how long an engine may send no token
	Store         *blob.Store   // of the data folder; nil if there is none
	TickEvery     time.Duration
}

// EndpointOptions names an endpoint and how it is reached. Either Engine or
// Plain is set.
type EndpointOptions struct {
	Engine  *engine.Client
	Name    string
	Plain   *plainservice.Client
	Service string
}

// withDefaults returns the options with each zero field at its default.
func (op Options) withDefaults() Options {
	process.SetDefault(&op.Grace, DefaultGrace)
	process.SetDefault(&op.Linger, DefaultLinger)
	process.SetDefault(&op.MaxAnswerSize, DefaultMaxAnswerSize)
	process.SetDefault(&op.MaxBodySize, DefaultMaxBodySize)
	process.SetDefault(&op.PartialAge, DefaultPartialAge)
	process.SetDefault(&op.PartialTokens, DefaultPartialTokens)
	process.SetDefault(&op.ProgressEvery, DefaultProgressEvery)
	process.SetDefault(&op.ReportEvery, DefaultReportEvery)
	process.SetDefault(&op.ReportTimeout, DefaultReportTimeout)
	process.SetDefault(&op.RunBound, DefaultRunBound)
	process.SetDefault(&op.SampleEvery, DefaultSampleEvery)
	process.SetDefault(&op.StallBound, DefaultStallBound)
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
