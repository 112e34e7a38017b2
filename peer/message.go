package peer

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wisteriacroft/message"
	"wisteriacroft/outcome"
)

// A Request is a call on the wire. It is exported because net/rpc requires exported
// argument types.
type Request struct {
	_           struct{} `cbor:",toarray"`
	Seq         uint64
	Method      string
	Sender      string
	Incarnation uint64
	Revision    uint64
	TimeLeft    int64  // milliseconds until the caller's deadline
	TraceParent string // W3C trace context, or ""
	Payload     cbor.RawMessage

	remoteAddress string
	newContext    func(left time.Duration) (context.Context, context.CancelFunc)
}

// Header returns the sender's header.
func (re *Request) Header() message.Header {
	return message.Header{Incarnation: re.Incarnation, Revision: re.Revision, Sender: re.Sender}
}

// A Response is the response to a Request on the wire. It is exported because net/rpc
// requires exported reply types.
type Response struct {
	_           struct{} `cbor:",toarray"`
	Seq         uint64
	Sender      string
	Incarnation uint64
	Revision    uint64
	Failure     *Failure
	Payload     cbor.RawMessage
}

// Header returns the sender's header.
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

// encoding encodes times with nanoseconds; the default is whole seconds.
var encoding = newEncoding()

func newEncoding() cbor.EncMode {
	em, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // the options above are constant
	}
	return em
}

// Encode returns the CBOR encoding of a value.
func Encode(value any) ([]byte, error) { return encoding.Marshal(value) }

// Decode decodes the CBOR encoding of a value.
func Decode(data []byte, value any) error { return cbor.Unmarshal(data, value) }
