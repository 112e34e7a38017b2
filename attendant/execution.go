package attendant

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// executionAge is the minimum age of an execution to be reviewed. It is longer than reports are
	// delayed.
	executionAge = 5 * time.Second
	// executionMisses is the number of consecutive reports without an execution after which its
	// answer is lost.
	executionMisses = 2
)

// errAnswerLost means that the service no longer runs a request whose answer has not arrived.
var errAnswerLost = errors.New("service reports that it runs no such request, and no answer came")

// An execution is a non-repeatable request that has been sent to a service.
type execution struct {
	cancel context.CancelCauseFunc
	misses int // consecutive reports without it
	since  time.Time
}

// executions holds the executions of one service, oldest first. The zero value is empty and
// ready to use.
//
// An execution continues without its caller, so that its answer can be recorded. If its connection
// stalls, it would occupy a slot until RunBound, and delay a shutdown. Reports arrive over other
// connections and reveal that the service no longer runs it.
type executions struct {
	mu   sync.Mutex
	rows []*execution
}

// begin adds an execution. lose cancels it with a cause.
func (es *executions) begin(now time.Time, lose context.CancelCauseFunc) *execution {
	ex := &execution{cancel: lose, since: now}
	es.mu.Lock()
	defer es.mu.Unlock()
	es.rows = append(es.rows, ex)
	return ex
}

// end removes an execution.
func (es *executions) end(ex *execution) {
	es.mu.Lock()
	defer es.mu.Unlock()
	es.rows = slices.DeleteFunc(es.rows, func(other *execution) bool { return other == ex })
}

// review compares the executions with the number of requests in a report requested at asked. If the
// report has fewer requests than there are executions older than executionAge, the oldest ones count as
// missing. Requests of other clients in the report only delay the detection.
func (es *executions) review(asked time.Time, held int) {
	es.mu.Lock()
	defer es.mu.Unlock()
	old := 0
	for old < len(es.rows) && asked.Sub(es.rows[old].since) >= executionAge {
		old++
	}
	for i, ex := range es.rows {
		if i >= old-held {
			ex.misses = 0
			continue
		}
		ex.misses++
		if ex.misses >= executionMisses {
			ex.cancel(errAnswerLost)
		}
	}
}
