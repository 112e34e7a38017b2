package gate

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// A Class is the kind of work of a request.
type Class int

// The classes. The zero Class is Live, the one that is never delayed by the other.
const (
	Live Class = iota
	Sample
	classCount // number of classes
)

// String returns the name of the class.
func (cl Class) String() string {
	if cl == Sample {
		return "sample"
	}
	return "live"
}

// A Request is a request for admission to the endpoint.
type Request struct {
	Class    Class
	Deadline time.Time // zero means none
	ID       string    // unique among waiting and running requests
	Priority int       // within its share, higher starts first
	Profile  string
	Trainer  string
}

// share returns the name of the trainer or profile whose share the request uses.
func (req Request) share() string {
	if req.Trainer != "" {
		return req.Trainer
	}
	return req.Profile
}

// A Load is the number of running and waiting requests of an endpoint.
type Load struct {
	Limit   int // maximum of running requests; 0 if unknown
	Running int
	Waiting int
}

// String formats the load for message.LoadHeader.
func (lo Load) String() string {
	return fmt.Sprintf("%d/%d/%d", lo.Running, lo.Waiting, lo.Limit)
}

// ParseLoad parses the value of message.LoadHeader.
func ParseLoad(text string) (Load, error) {
	var lo Load
	_, err := fmt.Sscanf(text, "%d/%d/%d", &lo.Running, &lo.Waiting, &lo.Limit)
	return lo, errors.Wrapf(err, "load %q", text)
}

// A Result is how a request ended.
type Result int

// The results.
const (
	Broken   Result = iota // sent, but the answer is incomplete
	Canceled               // sent, then canceled
	NotSent                // no byte was sent, so it did not run
	Whole                  // answered completely
)
