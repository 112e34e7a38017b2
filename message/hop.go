package message

import (
	"net/http"
	"strings"
)

// hopHeaders are the hop-by-hop headers.
var hopHeaders = []string{
	"Connection", "Content-Length", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ForwardHeaders returns a copy of he without the hop-by-hop headers and the headers in
// except.
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
