// Package message defines the messages between the system's processes: HTTP headers and
// bodies on the data path, and net/rpc messages for control.
package message

// Headers of a live call, from the caller to the entry and from there to the attendant.
// Durations are in Go's format. A deadline is the remaining time, which doesn't depend on
// synchronized clocks.
const (
	DeadlineHeader       = "Wisteriacroft-Deadline"
	IdempotencyKeyHeader = "Idempotency-Key"
	ProfileHeader        = "Wisteriacroft-Profile"
	RepeatableHeader     = "Wisteriacroft-Repeatable" // "yes" or "no"; the default is the profile's
	RequestIDHeader      = "Wisteriacroft-Request-Id"
)

// Headers from the entry to the attendant only. The key is not sent as
// IdempotencyKeyHeader, since net/http retries requests with that header by itself when a
// connection breaks.
const (
	KeyQueryHeader     = "Wisteriacroft-Key-Ask" // "yes": return the request's outcome without running it
	KeyHeader          = "Wisteriacroft-Key"
	KeyGeneratedHeader = "Wisteriacroft-Key-Minted" // "yes": the entry generated the key
)

// Headers of a response, from the attendant through the entry to the caller.
const (
	EndpointHeader = "Wisteriacroft-Endpoint"
	FateHeader     = "Wisteriacroft-Fate"
	LoadHeader     = "Wisteriacroft-Load" // "running/waiting/limit" at the endpoint
	RevisionHeader = "Wisteriacroft-Revision"
)

// Paths of an attendant's HTTP server.
const (
	CallPath   = "/endpoints/{endpoint}/call/{path:.*}" // any method; body and status pass through
	RPCPath    = "/rpc"                                 // CONNECT, net/rpc
	SamplePath = "/endpoints/{endpoint}/samples"        // POST SampleRequest; lines of SampleEvent
	StreamPath = "/endpoints/{endpoint}/stream"         // POST engine.GenerateRequest; lines of engine.Chunk
)

// A Header is part of every net/rpc message. The receiver fetches the configuration if
// the sender has a higher revision.
type Header struct {
	Incarnation uint64 // increases with each start of the sender
	Revision    uint64 // of the sender's configuration
	Sender      string // instance ID
}
