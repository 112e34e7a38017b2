package forward

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"wisteriacroft/admission"
	"wisteriacroft/directory"
)

func (fo *Forwarder) reject(rw http.ResponseWriter, hr *http.Request, rj *rejection) {
	fo.Log.WithFields(rj.fields).WithFields(fo.configurationFields()).WithFields(logrus.Fields{
		"host": hr.Host, "path": hr.URL.Path, "reason": rj.reason,
		requestField: hr.Header.Get(fo.Headers.RequestID), "status": rj.status,
	}).Warn("rejected")
	fo.count("rejected")
	if rj.reason == string(admission.NoMemory) {
		fo.access().Refused(rj.customer)
		fo.countRefusal(admission.NoMemory)
	}
	rj.answer(rw)
}

// configurationFields returns the log fields that tell by which configuration a request was decided.
func (fo *Forwarder) configurationFields() logrus.Fields {
	co := fo.Directory.Configuration()
	age, known := fo.Directory.Age(directory.TopicOperator, time.Now())
	if co == nil || !known {
		return logrus.Fields{}
	}
	return logrus.Fields{"configuration-age-ms": age.Milliseconds(), "version": co.Version}
}

// deny answers a request that lacks a valid key.
func deny(rw http.ResponseWriter, reason string) {
	data, err := json.Marshal(struct {
		Error string `json:"error"`
	}{reason})
	if err != nil {
		panic(err) // a string can always be encoded
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("WWW-Authenticate", "Bearer")
	rw.Header().Set("Content-Length", strconv.Itoa(len(data)))
	rw.WriteHeader(http.StatusUnauthorized)
	_, _ = rw.Write(data) // fails only if the caller has disconnected
}

// Refuse writes a response without a body, with a Retry-After header unless retryAfter is 0.
func Refuse(rw http.ResponseWriter, status int, retryAfter time.Duration) {
	if retryAfter > 0 {
		rw.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	}
	rw.WriteHeader(status)
}

// writeAnswer writes an endpoint's response to the caller.
func writeAnswer(rw http.ResponseWriter, re *result) {
	copyHeader(rw.Header(), re.header)
	rw.Header().Set("Content-Length", strconv.Itoa(len(re.body)))
	rw.WriteHeader(re.status)
	_, _ = rw.Write(re.body) // fails only if the caller has disconnected
}

// copyHeader copies the end-to-end headers. It keeps net/http from adding a Content-Type that the
// endpoint did not send.
func copyHeader(to, from http.Header) {
	for name, values := range endToEnd(from) {
		to[name] = values
	}
	if from["Content-Type"] == nil {
		to["Content-Type"] = nil
	}
}
