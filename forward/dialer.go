package forward

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"wisteriacroft/roundtrip"
)

// Connection settings. A connection can be dropped without notice, for example by a NAT; keep-alive
// probes and the user timeout detect this before the deadline of a request passes.
const (
	dialTimeout       = 500 * time.Millisecond // far above the latency between failure domains
	probeAfter        = time.Second
	probeInterval     = 500 * time.Millisecond
	probeCount        = 3
	unacknowledged    = 2 * time.Second
	optionUserTimeout = 18 // TCP_USER_TIMEOUT, in milliseconds
	// idleConnections must be shorter than the idle timeout of endpoints.
	idleConnections = 20 * time.Second
	// maxIdleConnections is per endpoint, which runs no more requests concurrently.
	maxIdleConnections = 12
	maxAnswerHeader    = 64 << 10 // bytes
)

// Dialer returns a dialer whose connections detect an unreachable peer within seconds.
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

// NewHTTPClient returns a client for one server, with connections of Dialer that count written bytes
// for package roundtrip.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:            roundtrip.Dial(Dialer().DialContext),
		DisableCompression:     true,
		IdleConnTimeout:        idleConnections,
		MaxIdleConnsPerHost:    maxIdleConnections,
		MaxResponseHeaderBytes: maxAnswerHeader,
	}}
}
