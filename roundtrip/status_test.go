package roundtrip

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// Failure: a server in trouble sends a status that HTTP doesn't have, and the caller gets it as an answer.
func TestStatusThatIsNoAnswer(t *testing.T) {
	for _, tc := range []struct {
		status string
		answer bool
	}{
		{"000", false},
		{"001", false},
		{"099", false},
		{"101", false},
		{"600", false},
		{"999", false},
		{"200", true},
		{"299", true},
		{"599", true},
	} {
		t.Run(tc.status, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				text := fmt.Sprintf("HTTP/1.1 %s What\r\nX-Request-Id: a\r\nNot-Run: 1\r\nContent-Length: 2\r\n\r\nok", tc.status)
				se := &server{answers: [][]string{{text, okResponse}, {okResponse}}}
				cl := newClient(se.dial)
				defer cl.HTTP.CloseIdleConnections()
				an, err := cl.Do(t.Context(), Request{ID: "a", Method: http.MethodPost})
				if !tc.answer {
					assert.ErrorIs(t, err, errBroken)
				} else {
					assert.NilError(t, err)
					_, _ = io.Copy(io.Discard, an.Body)
					_ = an.Body.Close()
				}
				synctest.Wait()
				_, err = cl.Do(t.Context(), Request{ID: "a", Method: http.MethodPost})
				assert.NilError(t, err)
				assert.Equal(t, se.dials == 1, tc.answer, "the connection of what is no answer is closed")
			})
		})
	}
}
