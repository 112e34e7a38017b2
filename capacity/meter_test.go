package capacity

import (
	"net"
	"sync"
	"sync/atomic"
)

// A meter counts what one process sends to and receives from the others.
type meter struct {
	conns    atomic.Int64 // open connections
	messages atomic.Int64 // sent
	received atomic.Int64 // bytes
	sent     atomic.Int64 // bytes
}

// A traffic is the difference between two readings of meters.
type traffic struct{ conns, messages, received, sent int64 }

// read returns the counts so far.
func (me *meter) read() traffic {
	return traffic{
		conns: me.conns.Load(), messages: me.messages.Load(), received: me.received.Load(), sent: me.sent.Load(),
	}
}

// since returns the traffic after an earlier reading; connections are those open now.
func (tr traffic) since(earlier traffic) traffic {
	return traffic{
		conns: tr.conns, messages: tr.messages - earlier.messages, received: tr.received - earlier.received, sent: tr.sent - earlier.sent,
	}
}

// add returns the sum of two traffics.
func (tr traffic) add(other traffic) traffic {
	return traffic{
		conns: tr.conns + other.conns, messages: tr.messages + other.messages, received: tr.received + other.received,
		sent: tr.sent + other.sent,
	}
}

// A meteredConn is a connection whose traffic a meter counts. Each write is one message.
type meteredConn struct {
	net.Conn
	closing   sync.Once
	meter     *meter
	muted     *atomic.Bool // while set, written data is lost
	processor *processor   // used by each read; writes hold mutexes, which would stop the clock of a bubble
}

// newMeteredConn returns a connection of a node.
func newMeteredConn(co net.Conn, no *node) *meteredConn {
	no.meter.conns.Add(1)
	return &meteredConn{Conn: co, meter: &no.meter, muted: &no.muted, processor: no.processor}
}

// Read implements net.Conn.
func (mc *meteredConn) Read(data []byte) (int, error) {
	n, err := mc.Conn.Read(data)
	mc.meter.received.Add(int64(n))
	if n > 0 {
		mc.processor.use()
	}
	return n, err
}

// Write implements net.Conn.
func (mc *meteredConn) Write(data []byte) (int, error) {
	if mc.muted.Load() {
		return len(data), nil
	}
	n, err := mc.Conn.Write(data)
	mc.meter.messages.Add(1)
	mc.meter.sent.Add(int64(n))
	return n, err
}

// Close implements net.Conn.
func (mc *meteredConn) Close() error {
	mc.closing.Do(func() { mc.meter.conns.Add(-1) })
	return mc.Conn.Close()
}
