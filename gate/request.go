package gate

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// A Class is the kind of work of a request.
type Class int

// The classes. The zero Class is Live, so that whoever forgets to set it
// makes no caller wait behind samples.
const (
	Live Class = iota
	Sample
	classes // how many there are
)

// String returns the class's name.
func (cl Class) String() string {
	if cl == Sample {
		return "sample"
	}
	return "live"
}

// A Request asks to be written to the endpoint.
type Request struct {
	Class    Class
	Deadline time.Time // zero means none
	ID       string    // unique among those that wait and run
	Priority int       // higher starts first within its share
	Profile  string
	Trainer  string
}

// share returns the name under which the request gets its fair share.
func (req Request) share() string {
	if req.Trainer != "" {
		return req.Trainer
	}
	return req.Profile
}

// A Load is how many requests run at an endpoint and wait before it.
type Load struct {
	Limit   int // how many may run; 0 if not known
	Running int
	Waiting int
}

// String returns the load in its form in message.LoadHeader.
func (lo Load) String() string {
	return fmt.Sprintf("%d/%d/%d", lo.Running, lo.Waiting, lo.Limit)
}

// ParseLoad reads a load from message.LoadHeader.
func ParseLoad(text string) (Load, error) {
	var lo Load
	_, err := fmt.Sscanf(text, "%d/%d/%d", &lo.Running, &lo.Waiting, &lo.Limit)
	return lo, errors.Wrapf(err, "load %q", text)
}

// A Result is how a request left the endpoint.
type Result int

// The outcomes.
const (
	Broken   Result = iota // written, but the answer is not whole
	Canceled               // written, then given up on
	NotSent                // no byte was written: it did not run
	Whole                  // answered whole
)
