package message

import (
	"time"

	"wisteriacroft/engine"
)

// net/rpc methods with a StatusRequest and a Status.
const (
	AttendantStatusMethod = "Attendant.Status"
	EntryStatusMethod     = "Entry.Status"
)

// A RevisionSource is where a process got its configuration from.
type RevisionSource string

// The sources of a revision.
const (
	FromKeyValue RevisionSource = "key-value" // read from the key-value service
	FromNowhere  RevisionSource = "none"      // no configuration yet
	FromPeer     RevisionSource = "peer"      // fetched from another process
)

// A StatusRequest requests a process's Status.
type StatusRequest struct {
	Header Header
}

// A Status is a process's status report. Its lists are sorted by name. Times are of the
// reporting process's clock.
type Status struct {
	Batches        []BatchStatus    `json:"batches"`
	CutOffSince    time.Time        `json:"cut-off-since,omitzero"` // last contact with a configuration source; zero unless cut off
	DataFolder     bool             `json:"data-folder"`            // stores payloads
	Endpoints      []EndpointStatus `json:"endpoints"`
	FailureDomain  string           `json:"failure-domain"`
	Incarnation    uint64           `json:"incarnation"`
	Instance       string           `json:"instance"`
	Leases         []LeaseStatus    `json:"leases"`
	Leaving        bool             `json:"leaving"` // refuses new requests
	Revision       uint64           `json:"revision"`
	RevisionSource RevisionSource   `json:"revision-source"`
	Role           string           `json:"role"`
	StartedAt      time.Time        `json:"started-at,omitzero"`
	Trainers       []TrainerStatus  `json:"trainers"`
}

// An EndpointStatus is the status of an endpoint according to the reporting process.
type EndpointStatus struct {
	Leaving bool           `json:"leaving"`
	Model   string         `json:"model,omitempty"`
	Name    string         `json:"name"`
	Running int            `json:"running"` // requests sent to the endpoint
	SeenAt  time.Time      `json:"seen-at,omitzero"`
	Service string         `json:"service"`
	Serving bool           `json:"serving"` // receives new requests
	Version engine.Version `json:"version"` // last reported weights; 0 for a plain service
	Waiting int            `json:"waiting"` // requests queued for the endpoint
}

// A LeaseStatus is a lease that the reporting process holds.
type LeaseStatus struct {
	Epoch     uint64    `json:"epoch"`
	ExpiresAt time.Time `json:"expires-at,omitzero"`
	Name      string    `json:"name"` // such as "trainers/marker-a" or "rollouts/marker-llm"
}

// A TrainerStatus is a trainer whose batches the reporting process owns.
type TrainerStatus struct {
	Delivered int            `json:"delivered"` // samples delivered in this step
	Epoch     uint64         `json:"epoch"`
	Missing   int            `json:"missing"` // samples still missing in this step
	Name      string         `json:"name"`
	Step      int            `json:"step"` // -1 before the first
	Version   engine.Version `json:"version"`
}

// A BatchState is the state of a batch.
type BatchState string

// The states of a batch.
const (
	BatchOpen   BatchState = "open"   // samples are still missing
	BatchSealed BatchState = "sealed" // immutable, not yet acknowledged
)

// A BatchStatus is a batch that the reporting process owns.
type BatchStatus struct {
	ID        string     `json:"id"`
	Published bool       `json:"published"` // its seal is in the key-value service
	Samples   int        `json:"samples"`
	State     BatchState `json:"state"`
	Step      int        `json:"step"`
	Trainer   string     `json:"trainer"`
	Wanted    int        `json:"wanted"`
}
