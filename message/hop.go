package message

import (
	"net/http"
	"strings"
)

// hopHeaders concern one connection.
var hopHeaders = []string{
	"Connection", "Content-Length", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ForwardHeaders returns the headers that go on to the next hop: all but those that
// concern one connection, and those that the caller names besides.
func ForwardHeaders(he http.Header, except ...string) http.Header {
	out := he.Clone()
	for _, value := range he.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	for _, name := range except {
		out.Del(name)
	}
	return out
}
