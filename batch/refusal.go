package batch

import (
	"fmt"
	"time"

	"wisteriacroft/outcome"
)

// refusalRetryAfter is the Retry-After time of refusals.
const refusalRetryAfter = time.Second

// refuse returns a refusal, with a Retry-After time unless the request is invalid.
func refuse(code outcome.Code, format string, args ...any) *outcome.Refusal {
	re := outcome.NewRefusal(code, "", fmt.Sprintf(format, args...))
	if code != outcome.BadRequest {
		re.RetryAfter = refusalRetryAfter.String()
	}
	return re
}

func notOwned(trainer string) *outcome.Refusal {
	return refuse(outcome.NotHome, "trainer %s is not owned here", trainer)
}
