// Package message holds what the system's own processes say to each other:
// HTTP headers and bodies on the data path, net/rpc messages for control.
// Fields are exported because codecs fill them.
package message

// Headers of a live call, from the caller to the entry and from there to the
// attendant. Durations are Go durations; a deadline is the time that is left,
// so that the clocks of two instances need not agree.
const (
	DeadlineHeader       = "Wisteriacroft-Deadline"
	IdempotencyKeyHeader = "Idempotency-Key"
	ProfileHeader        = "Wisteriacroft-Profile"
	RepeatableHeader     = "Wisteriacroft-Repeatable" // "yes" or "no"; the profile's word is the default
	RequestIDHeader      = "Wisteriacroft-Request-Id"
)

// Headers from the entry to the attendant only. The key doesn't travel as
// IdempotencyKeyHeader: net/http takes a request that carries that header for
// one that is safe to send again, and does so by itself when a connection
// breaks.
const (
	KeyQueryHeader     = "Wisteriacroft-Key-Ask" // "yes": don't run the request, only say what became of it
	KeyHeader          = "Wisteriacroft-Key"
	KeyGeneratedHeader = "Wisteriacroft-Key-Minted" // "yes": the caller gave no key and the entry minted this one
)

// Headers of an answer, from the attendant to the entry and on to the caller.
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

// A Header goes with every net/rpc message. The receiver fetches the
// configuration when the sender holds a higher revision.
type Header struct {
	Incarnation uint64 // grows with each start of the sender
	Revision    uint64 // configuration that the sender holds
	Sender      string // instance id
}
