package entry

import (
	"context"
	"time"

	"wisteriacroft/batch"
	"wisteriacroft/configuration"
	"wisteriacroft/lease"
	"wisteriacroft/message"
	"wisteriacroft/route"
)

// Status returns the entry's status report.
func (en *Entry) Status(context.Context, message.Header, message.StatusRequest) (message.Status, error) {
	now := time.Now()
	st := message.Status{
		FailureDomain: en.options.FailureDomain,
		Incarnation:   en.options.Incarnation,
		Instance:      en.options.Instance,
		Leaving:       en.leaving(),
		Role:          configuration.EntryRole,
		StartedAt:     en.startedAt,
	}
	configuration.FillStatus(&st, en.profiles.Status(), now)
	for _, se := range en.profiles.Current().Services() {
		for _, ep := range en.routes.Endpoints(se.Service()) {
			st.Endpoints = append(st.Endpoints, endpointStatus(ep))
		}
	}
	for _, he := range en.ownership.held(now) {
		st.Leases = append(st.Leases, message.LeaseStatus{Epoch: he.epoch, Name: he.name})
	}
	for _, bs := range en.batches.Status() {
		if bs.Standing != lease.NotHeld.String() {
			addTrainer(&st, bs)
		}
	}
	return st, nil
}

// endpointStatus returns the status of an endpoint as routed by this entry.
func endpointStatus(ep route.Endpoint) message.EndpointStatus {
	return message.EndpointStatus{
		Leaving: ep.State == route.Leaving,
		Name:    ep.ID,
		Service: ep.Service,
		Serving: ep.State == route.Ready,
		Version: ep.Version,
	}
}

// addTrainer adds the status of a trainer that the entry owns, and of its batches.
func addTrainer(st *message.Status, bs batch.Status) {
	for _, ro := range bs.Batches {
		st.Batches = append(st.Batches, batchStatus(bs.Trainer, ro))
	}
	st.Trainers = append(st.Trainers, message.TrainerStatus{
		Delivered: bs.Counts.Samples,
		Epoch:     bs.Epoch,
		Missing:   bs.Unfilled,
		Name:      bs.Trainer,
		Step:      bs.Cursor.Step,
		Version:   bs.Version,
	})
}

func batchStatus(trainer string, ro batch.Row) message.BatchStatus {
	state := message.BatchOpen
	if ro.Sealed {
		state = message.BatchSealed
	}
	return message.BatchStatus{
		ID:        ro.ID,
		Published: ro.Published,
		Samples:   ro.Samples,
		State:     state,
		Step:      ro.Step,
		Trainer:   trainer,
		Wanted:    ro.Wanted,
	}
}
