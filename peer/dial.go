package peer

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/message"
)

// dial opens the connection and watches it until it ends. All calls to the address share
// it, so ctx must not be a caller's context.
func (cn *connection) dial(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(cn.pool.DialTimeout, DefaultDialTimeout))
	defer cancel()
	co, err := cn.connect(ctx)
	if err != nil {
		cn.fail(mark(err, ErrNotSent))
		return
	}
	po := cn.pool
	if !cn.setWire(newWire(co, &po.bytes, cmp.Or(po.MaxMessageSize, DefaultMaxMessageSize), 2*cmp.Or(po.IdleTimeout, DefaultIdleTimeout))) {
		discard(co)
		return
	}
	cn.client = rpc.NewClientWithCodec(&clientCodec{onReadError: cn.end, wire: cn.wire})
	close(cn.ready)
	cn.watch()
}

// setWire sets the wire. It returns false if the connection failed during the dial.
func (cn *connection) setWire(wi *wire) bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.wire = wi
	return cn.cause == nil
}

// connect opens a connection to the address and switches it to net/rpc.
func (cn *connection) connect(ctx context.Context) (net.Conn, error) {
	dial := cn.pool.DialFunc
	if dial == nil {
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	co, err := dial(ctx, cn.address)
	if err != nil {
		return nil, err
	}
	if err := handshake(ctx, co); err != nil {
		discard(co)
		return nil, err
	}
	return co, nil
}

// handshake requests net/rpc by an HTTP CONNECT and clears the connection's deadline.
func handshake(ctx context.Context, co net.Conn) error {
	deadline, _ := ctx.Deadline()
	if err := co.SetDeadline(deadline); err != nil {
		return err
	}
	if _, err := io.WriteString(co, "CONNECT "+message.RPCPath+" HTTP/1.0\n\n"); err != nil {
		return err
	}
	rs, err := http.ReadResponse(bufio.NewReader(co), &http.Request{Method: http.MethodConnect})
	if err != nil {
		return err
	}
	if err := rs.Body.Close(); err != nil {
		return err
	}
	if rs.StatusCode != http.StatusOK {
		return errors.Newf("unexpected answer to CONNECT: %s", rs.Status)
	}
	return co.SetDeadline(time.Time{})
}
