package forward

import "net/http"

// stopping returns the rejection of a request that may outlast this process, or nil. Its caller can
// ask another entry at once; once it was sent to an endpoint, the end of the process would cut it.
func (fo *Forwarder) stopping(rq *request) *rejection {
	if fo.EndFunc == nil {
		return nil
	}
	if end := fo.EndFunc(); end.IsZero() || !rq.deadline.After(end) {
		return nil
	}
	return &rejection{reason: "the process stops before the request's deadline", status: http.StatusServiceUnavailable}
}
