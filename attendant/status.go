package attendant

import (
	"context"
	"time"

	"wisteriacroft/configuration"
	"wisteriacroft/message"
)

// Role is the role of attendants in statuses.
const Role = "attendant"

// Status returns the state of the attendant.
func (at *Attendant) Status(_ context.Context, _ message.Header, _ message.StatusRequest) (message.Status, error) {
	st := message.Status{
		DataFolder:    at.options.Store != nil,
		FailureDomain: at.options.FailureDomain,
		Incarnation:   at.options.Incarnation,
		Instance:      at.options.Instance,
		Leaving:       at.inflight.isLeaving(),
		Role:          Role,
		StartedAt:     at.startedAt,
	}
	configuration.FillStatus(&st, at.profiles.Status(), time.Now())
	for _, en := range at.endpoints {
		st.Endpoints = append(st.Endpoints, at.endpointStatus(en))
	}
	return st, nil
}

// endpointStatus returns the state of an endpoint.
func (at *Attendant) endpointStatus(en *endpoint) message.EndpointStatus {
	es, load := en.state(), en.gate.Load()
	return message.EndpointStatus{
		Leaving: at.inflight.isLeaving(),
		Model:   es.report.Model,
		Name:    en.name,
		Running: load.Running,
		SeenAt:  es.seenAt,
		Service: en.service,
		Serving: at.serving(es),
		Version: es.version,
		Waiting: load.Waiting,
	}
}

// serving reports whether an endpoint gets requests.
func (at *Attendant) serving(es endpointState) bool {
	return !at.inflight.isLeaving() && !es.failed && !es.seenAt.IsZero()
}
