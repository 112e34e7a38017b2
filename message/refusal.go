package message

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"wisteriacroft/outcome"
)

// statuses maps the codes of refusals to HTTP statuses.
var statuses = map[outcome.Code]int{
	outcome.BadRequest:       http.StatusBadRequest,
	outcome.DeadlineExceeded: http.StatusGatewayTimeout,
	outcome.OutcomeUnknown:   http.StatusBadGateway,
	outcome.InProgress:       http.StatusConflict,
	outcome.Leaving:          http.StatusServiceUnavailable,
	outcome.NotHome:          http.StatusMisdirectedRequest,
	outcome.Overloaded:       http.StatusTooManyRequests,
	outcome.Refused:          http.StatusServiceUnavailable,
	outcome.UnknownProfile:   http.StatusNotFound,
}

// statusOf returns the HTTP status of a refusal's code.
func statusOf(code outcome.Code) int {
	if status, ok := statuses[code]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// WriteRefusal writes a refusal as an HTTP response, with headers for its fate and its
// retry delay in seconds, rounded up.
func WriteRefusal(rw http.ResponseWriter, re *outcome.Refusal) {
	he := rw.Header()
	he.Set("Content-Type", "application/json")
	he.Set(FateHeader, re.Fate)
	he.Set(RequestIDHeader, re.RequestID)
	if wait := re.RetryDelay(); wait > 0 {
		he.Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	rw.WriteHeader(statusOf(re.Code))
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(rw).Encode(re)
}
