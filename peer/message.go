package peer

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wisteriacroft/message"
	"wisteriacroft/outcome"
)

// A Request is a call on the wire. It is exported because net/rpc asks for
// exported argument types.
type Request struct {
	_           struct{} `cbor:",toarray"`
	Seq         uint64
	Method      string
	Sender      string
	Incarnation uint64
	Revision    uint64
	TimeLeft    int64  // milliseconds until the caller gives up
	TraceParent string // W3C trace context, or ""
	Payload     cbor.RawMessage

	from  string
	bound func(left time.Duration) (context.Context, context.CancelFunc)
}

// Header returns the sender's part of the request.
func (re *Request) Header() message.Header {
	return message.Header{Incarnation: re.Incarnation, Revision: re.Revision, Sender: re.Sender}
}

// A Response is the answer to a Request on the wire. It is exported because
// net/rpc asks for exported reply types.
type Response struct {
	_           struct{} `cbor:",toarray"`
	Seq         uint64
	Sender      string
	Incarnation uint64
	Revision    uint64
	Failure     *Failure
	Payload     cbor.RawMessage
}

// Header returns the sender's part of the response.
func (re *Response) Header() message.Header {
	return message.Header{Incarnation: re.Incarnation, Revision: re.Revision, Sender: re.Sender}
}

// A Failure is an error on the wire.
type Failure struct {
	_       struct{} `cbor:",toarray"`
	Code    string   // name of a Code, or ""
	Message string
	Refusal *outcome.Refusal
}

// encoding keeps times to the nanosecond: the default keeps whole seconds.
var encoding = newEncoding()

// newEncoding returns the mode of encoding.
func newEncoding() cbor.EncMode {
	em, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // the options above are constant
	}
	return em
}

// Encode returns the form of a value on the wire.
func Encode(value any) ([]byte, error) { return encoding.Marshal(value) }

// Decode reads a value from its form on the wire.
func Decode(data []byte, value any) error { return cbor.Unmarshal(data, value) }
