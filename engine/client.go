// Package engine is the adapter to model engines: the one place that knows how
// they are reached.
package engine

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors that a Client returns, to be matched with errors.Is.
var (
	// ErrMismatchedResponse means that an answer belongs to another request.
	ErrMismatchedResponse = errors.New("answer belongs to another request")
	// ErrFenced means that the engine refused an order with an old epoch.
	ErrFenced = errors.New("order carries an old epoch")
	// ErrNotSent means that no byte of the request was written to the engine:
	// it did not run.
	ErrNotSent = errors.New("request was not sent")
	// ErrBroken means that the request was at least partly written and that
	// the answer is not whole: whether it ran is not known.
	ErrBroken = errors.New("engine connection broke")
)

// A Version numbers a model's weights. It grows; 0 means none.
type Version uint64

// A Token is one generated token.
type Token struct {
	ID      int32   `json:"id"`
	LogProb float32 `json:"log-prob"`
}

// A Segment is a run of a sample's tokens that one version made.
type Segment struct {
	Tokens  int     `json:"tokens"`
	Version Version `json:"version"`
}

// A GenerateRequest asks for tokens after a prompt.
type GenerateRequest struct {
	ID        string  `json:"id"`
	MaxTokens int     `json:"max-tokens"` // counted with Resume
	Prompt    string  `json:"prompt"`
	Resume    []Token `json:"resume,omitempty"` // tokens already made elsewhere
	Seed      uint64  `json:"seed"`
}

// A Chunk is a piece of a streamed answer.
type Chunk struct {
	Done      bool    `json:"done,omitempty"`
	First     int     `json:"first"` // position of the first token in the whole answer
	RequestID string  `json:"request-id"`
	Tokens    []Token `json:"tokens"`
	Version   Version `json:"version"` // what made these tokens; 0 means unnamed
}

// An OrderKind says what an order changes.
type OrderKind string

// The kinds of orders that engines take.
const (
	LoadAdapter OrderKind = "load-adapter"
	LoadModel   OrderKind = "load-model"
	LoadVersion OrderKind = "load-version"
	SetRole     OrderKind = "set-role"
)

// An Order tells an engine to load something or to change its role.
type Order struct {
	Epoch   uint64    `json:"epoch"` // fencing number; some engines ignore it
	Kind    OrderKind `json:"kind"`
	Name    string    `json:"name,omitempty"` // model, adapter or role
	Version Version   `json:"version,omitempty"`
}

// A Report is what an engine says of itself, with a lag.
type Report struct {
	Adapter string    `json:"adapter"`
	At      time.Time `json:"at"`
	Loading bool      `json:"loading"`
	Model   string    `json:"model"`
	Role    string    `json:"role"`
	Running int       `json:"running"`
	Version Version   `json:"version"`
	Waiting int       `json:"waiting"`
}

// A CacheSnapshot is the exported KV cache of one request.
type CacheSnapshot struct {
	Data      []byte  `json:"data"`
	RequestID string  `json:"request-id"`
	Tokens    []Token `json:"tokens"`
	Version   Version `json:"version"`
}

// A CacheEvent says that a prompt prefix entered or left the prefix cache.
// Events come late and with gaps in Sequence.
type CacheEvent struct {
	Prefix   string `json:"prefix"`
	Sequence uint64 `json:"sequence"`
	Stored   bool   `json:"stored"`
}

// A Client reaches one engine. Each field is a seam that a test or another
// protocol for the same kind of engine may replace.
type Client struct {
	CacheEventsFunc func(ctx context.Context, after uint64) ([]CacheEvent, error)
	CancelFunc      func(ctx context.Context, requestID string) error
	// EndedFunc reports whether the engine's process has ended. Nil can't tell.
	EndedFunc       func(ctx context.Context) bool
	ExportCacheFunc func(ctx context.Context, requestID string) (CacheSnapshot, error)
	// GenerateFunc streams an answer and calls emit for each chunk, in order.
	// It returns nil only after a chunk that is Done. It stops at emit's error.
	GenerateFunc    func(ctx context.Context, req GenerateRequest, emit func(Chunk) error) error
	ImportCacheFunc func(ctx context.Context, cs CacheSnapshot) error
	// OrderFunc returns once the engine has taken or refused the order. The
	// loading itself goes on: read Report for what became of it.
	OrderFunc  func(ctx context.Context, or Order) error
	ReportFunc func(ctx context.Context) (Report, error)
}
