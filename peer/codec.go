package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// A wire reads and writes CBOR messages on a connection.
type wire struct {
	bytes         *Bytes
	conn          net.Conn
	decoder       *cbor.Decoder
	lastRead      atomic.Int64 // time of the last successful read, in Unix nanoseconds
	limit         int          // maximum size of a message, in bytes
	readRemaining int          // remaining bytes of the limit for the message being read
	readTimeout   time.Duration
}

// newWire returns a wire on conn. A read times out after idle.
func newWire(conn net.Conn, by *Bytes, limit int, idle time.Duration) *wire {
	wi := &wire{bytes: by, conn: conn, limit: limit, readTimeout: idle}
	wi.decoder = cbor.NewDecoder(wi)
	return wi
}

// Read implements io.Reader for the decoder.
//
// The size limit prevents a faulty sender from exhausting this process's memory; the
// connection fails instead.
func (wi *wire) Read(buf []byte) (int, error) {
	if wi.readRemaining <= 0 {
		return 0, errors.Wrapf(ErrTooLarge, "read from %s", wi.conn.RemoteAddr())
	}
	if len(buf) > wi.readRemaining {
		buf = buf[:wi.readRemaining]
	}
	if err := wi.conn.SetReadDeadline(time.Now().Add(wi.readTimeout)); err != nil {
		return 0, err
	}
	n, err := wi.conn.Read(buf)
	wi.readRemaining -= n
	if n > 0 {
		wi.lastRead.Store(time.Now().UnixNano())
		wi.bytes.read.Add(int64(n))
	}
	return n, err
}

// decode reads the next message into value.
func (wi *wire) decode(value any) error {
	wi.readRemaining = wi.limit
	return wi.decoder.Decode(value)
}

// encode writes a message. It fails after DefaultSilenceTimeout, so that a receiver that
// stops reading doesn't block later writers.
func (wi *wire) encode(value any) error {
	data, err := Encode(value)
	if err != nil {
		return err
	}
	if len(data) > wi.limit {
		return errors.Wrapf(ErrTooLarge, "%d bytes to %s", len(data), wi.conn.RemoteAddr())
	}
	if err := wi.conn.SetWriteDeadline(time.Now().Add(DefaultSilenceTimeout)); err != nil {
		return err
	}
	wi.bytes.written.Add(int64(len(data)))
	_, err = wi.conn.Write(data)
	if err != nil {
		discard(wi.conn) // a partly written message makes the stream unreadable
	}
	return err
}

// A serverCodec is a net/rpc codec whose messages are Requests and Responses.
type serverCodec struct {
	newContext func(left time.Duration) (context.Context, context.CancelFunc)
	cancel     context.CancelFunc
	close      sync.Once
	request    *Request
	wire       *wire
}

// newServerCodec returns a codec on conn. Closing it cancels the handlers' contexts.
func newServerCodec(ctx context.Context, conn net.Conn, by *Bytes, limit int) *serverCodec {
	// Clients close connections that are idle for DefaultIdleTimeout and ping while
	// calls run. Twice that time without a byte means that the client is gone.
	co := &serverCodec{wire: newWire(conn, by, limit, 2*DefaultIdleTimeout)}
	ctx, cancel := context.WithCancel(ctx)
	co.cancel = cancel
	co.newContext = func(left time.Duration) (context.Context, context.CancelFunc) {
		return context.WithTimeout(ctx, left)
	}
	return co
}

// ReadRequestHeader implements rpc.ServerCodec. It reads the header and the body.
func (co *serverCodec) ReadRequestHeader(he *rpc.Request) error {
	req := &Request{}
	if err := co.wire.decode(req); err != nil {
		return err
	}
	req.remoteAddress = co.wire.conn.RemoteAddr().String()
	req.newContext = co.newContext
	co.request = req
	he.Seq = req.Seq
	he.ServiceMethod = serviceMethod
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (co *serverCodec) ReadRequestBody(body any) error {
	if req, ok := body.(*Request); ok {
		*req = *co.request
	}
	return nil
}

// WriteResponse implements rpc.ServerCodec.
func (co *serverCodec) WriteResponse(he *rpc.Response, body any) error {
	resp, ok := body.(*Response)
	if !ok || he.Error != "" {
		resp = &Response{Failure: &Failure{Message: he.Error}}
	}
	resp.Seq = he.Seq
	err := co.wire.encode(resp)
	if errors.Is(err, ErrTooLarge) {
		return co.wire.encode(&Response{Seq: he.Seq, Failure: newFailure(err, nil)})
	}
	return err
}

// Close implements rpc.ServerCodec.
func (co *serverCodec) Close() error {
	var err error
	co.close.Do(func() {
		co.cancel()
		err = co.wire.conn.Close()
	})
	return err
}

// A clientCodec is the caller's side of a serverCodec.
type clientCodec struct {
	onReadError func(err error) // called when a read fails
	response    Response
	wire        *wire
}

// WriteRequest implements rpc.ClientCodec.
func (co *clientCodec) WriteRequest(he *rpc.Request, body any) error {
	req, ok := body.(*Request)
	if !ok {
		return errors.Newf("request of type %T", body)
	}
	req.Seq = he.Seq
	return co.wire.encode(req)
}

// ReadResponseHeader implements rpc.ClientCodec. It reads the header and the body.
func (co *clientCodec) ReadResponseHeader(he *rpc.Response) error {
	co.response = Response{}
	if err := co.wire.decode(&co.response); err != nil {
		co.onReadError(err)
		return err
	}
	he.Seq = co.response.Seq
	return nil
}

// ReadResponseBody implements rpc.ClientCodec. Body is nil when no call waits for the
// response.
func (co *clientCodec) ReadResponseBody(body any) error {
	if resp, ok := body.(*Response); ok {
		*resp = co.response
	}
	return nil
}

// Close implements rpc.ClientCodec.
func (co *clientCodec) Close() error { return co.wire.conn.Close() }
