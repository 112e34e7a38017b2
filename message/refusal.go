package message

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"wisteriacroft/fate"
)

// statuses holds the HTTP status of each refusal's code.
var statuses = map[fate.Code]int{
	fate.BadRequest:       http.StatusBadRequest,
	fate.DeadlineExceeded: http.StatusGatewayTimeout,
	fate.OutcomeUnknown:   http.StatusBadGateway,
	fate.InProgress:       http.StatusConflict,
	fate.Leaving:          http.StatusServiceUnavailable,
	fate.NotHome:          http.StatusMisdirectedRequest,
	fate.Overloaded:       http.StatusTooManyRequests,
	fate.Refused:          http.StatusServiceUnavailable,
	fate.UnknownProfile:   http.StatusNotFound,
}

// statusOf returns the HTTP status of a refusal's code.
func statusOf(code fate.Code) int {
	if status, ok := statuses[code]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// WriteRefusal answers an HTTP request with a refusal, its fate and the time
// to come back, in whole seconds rounded up.
func WriteRefusal(rw http.ResponseWriter, re *fate.Refusal) {
	he := rw.Header()
	he.Set("Content-Type", "application/json")
	he.Set(FateHeader, re.Fate)
	he.Set(RequestIDHeader, re.RequestID)
	if wait := re.RetryDelay(); wait > 0 {
		he.Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	rw.WriteHeader(statusOf(re.Code))
	// The caller may be gone; nothing is left to tell it then.
	_ = json.NewEncoder(rw).Encode(re)
}
