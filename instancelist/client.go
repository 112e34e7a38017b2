// Package instancelist is the client of the platform's list of instances, which may be
// outdated.
package instancelist

import "context"

// A State is the state of an instance.
type State string

// The states of instances.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// An Instance is an entry of the list.
type Instance struct {
	Address       string `json:"address"` // IP:port of the system's process on it
	FailureDomain string `json:"failure-domain"`
	ID            string `json:"id"`
	Role          string `json:"role"` // "entry" or "attendant"
	State         State  `json:"state"`
}

// A Client fetches the list. Tests can replace its function.
type Client struct {
	ListFunc func(ctx context.Context) ([]Instance, error)
}
