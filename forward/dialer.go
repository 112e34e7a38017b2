package forward

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"wisteriacroft/roundtrip"
)

// Bounds of connections. Something between two ends can lose track of a
// connection, which then takes bytes and never answers. Probes and the bound on
// unacknowledged bytes end it; without them a request waits out its deadline.
const (
	dialTimeout       = 500 * time.Millisecond // 100 times the longest way between failure domains
	probeAfter        = time.Second
	probeInterval     = 500 * time.Millisecond
	probeCount        = 3
	unacknowledged    = 2 * time.Second
	optionUserTimeout = 18 // TCP_USER_TIMEOUT, in milliseconds
	// idleConnections is kept shorter than endpoints' own idle timeout where
	// they name none.
	idleConnections = 20 * time.Second
	// maxIdleConnections is how many connections to one endpoint are kept:
	// as many as it runs requests at once.
	maxIdleConnections = 12
	maxAnswerHeader    = 64 << 10 // bytes
)

// Dialer returns a dialer whose connections notice that the other end is gone.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Control: func(_, _ string, rc syscall.RawConn) error {
			var set error
			err := rc.Control(func(fd uintptr) {
				set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optionUserTimeout,
					int(unacknowledged/time.Millisecond))
			})
			if err != nil {
				return err
			}
			return set
		},
		KeepAliveConfig: net.KeepAliveConfig{
			Count: probeCount, Enable: true, Idle: probeAfter, Interval: probeInterval,
		},
		Timeout: dialTimeout,
	}
}

// NewHTTPClient returns a client for one server, whose connections come from
// Dialer and count what is written to them.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:            roundtrip.Dial(Dialer().DialContext),
		DisableCompression:     true,
		IdleConnTimeout:        idleConnections,
		MaxIdleConnsPerHost:    maxIdleConnections,
		MaxResponseHeaderBytes: maxAnswerHeader,
	}}
}
