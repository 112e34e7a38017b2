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

// Options configure an Attendant. Zero fields take their defaults.
type Options struct {
	Address string // IP:port at which other processes reach it
	// DialFunc opens a connection to another process; over TCP if nil.
	DialFunc      func(ctx context.Context, address string) (net.Conn, error)
	Endpoints     []EndpointOptions
	Entries       []string // addresses of entries, until the platform's instance list is available
	FailureDomain string
	Grace         time.Duration // maximum duration of a shutdown
	Incarnation   uint64        // increases with each start
	Instance      string
	Instances     *instancelist.Client // platform's instance list; nil if there is none
	Linger        time.Duration        // minimum time during which a shutdown still answers with refusals
	Log           *logrus.Logger
	MaxAnswerSize int // bytes of a plain service's answer
	MaxBodySize   int // bytes of a request
	Metrics       *metrics.Set
	PartialAge    time.Duration    // how long the tokens of an ended attempt are kept
	PartialTokens int              // maximum number of tokens of ended attempts that are kept
	Profiles      *profile.Replica // the active configuration
	ProgressEvery time.Duration    // interval of progress during a live answer
	ReportEvery   time.Duration    // interval between polls of an endpoint's report
	ReportTimeout time.Duration
	RunBound      time.Duration // timeout of a request that continues without its caller
	SampleEvery   time.Duration // interval of progress during an attempt
	Seed          uint64        // for jitter and tokens
	StallBound    time.Duration // maximum time without a token from an engine
	Store         *blob.Store   // data folder; nil if there is none
	TickEvery     time.Duration
}

// EndpointOptions configure an endpoint. Exactly one of Engine and Plain is set.
type EndpointOptions struct {
	Engine  *engine.Client
	Name    string
	Plain   *plainservice.Client
	Service string
}

// withDefaults returns the options with zero fields set to their defaults.
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
