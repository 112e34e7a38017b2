package forward

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/directory"
)

// Failure: a stopping entry passes on a request that it then cuts, though another entry could have served it.
func TestStoppingEntryTakesOnlyWhatCanEnd(t *testing.T) {
	for name, tc := range map[string]struct {
		end    time.Duration // of the process, from now; 0 if it isn't stopping
		status int
	}{
		"not stopping":        {status: http.StatusOK},
		"ends after deadline": {end: time.Hour, status: http.StatusOK},
		"ends before it":      {end: time.Second, status: http.StatusServiceUnavailable},
	} {
		for _, streaming := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				answer := succeeding
				if streaming {
					answer = stream(3, 0)
				}
				de := deploy(t, directory.Route{Kind: directory.AtMostOnce, Streaming: streaming, Timeout: time.Minute}, answer)
				de.forwarder.EndFunc = func() time.Time {
					if tc.end == 0 {
						return time.Time{}
					}
					return time.Now().Add(tc.end)
				}
				status, _, _ := de.ask(t, http.MethodPost, "/call/1", "body")
				assert.Equal(t, status, tc.status)
				assert.Equal(t, de.runs.Load() > 0, tc.status == http.StatusOK)
			})
		}
	}
}
