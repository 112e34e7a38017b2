package batch

import (
	"fmt"
	"time"

	"wisteriacroft/outcome"
)

// comeBack is when a refused trainer should ask again.
const comeBack = time.Second

// refuse returns a refusal, with a time to come back where that can help.
func refuse(code outcome.Code, format string, args ...any) *outcome.Refusal {
	re := outcome.NewRefusal(code, "", fmt.Sprintf(format, args...))
	if code != outcome.BadRequest {
		re.RetryAfter = comeBack.String()
	}
	return re
}

func notHome(trainer string) *outcome.Refusal {
	return refuse(outcome.NotHome, "trainer %s is not owned here", trainer)
}
