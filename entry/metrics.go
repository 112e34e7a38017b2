package entry

import (
	"time"

	"wisteriacroft/batch"
	"wisteriacroft/configuration"
	"wisteriacroft/rollout"
)

const metricPrefix = "wisteriacroft_entry_"

// addMetrics registers gauges that are computed when they are scraped.
func (en *Entry) addMetrics() {
	gauge := func(name string, read func() float64) {
		en.options.Metrics.GetOrCreateGauge(metricPrefix+name, read)
	}
	gauge("configuration_revision", func() float64 { return float64(en.profiles.Revision()) })
	gauge("configuration_cut_off_seconds", en.keyValueCutOffSeconds)
	gauge("control_bytes_read", func() float64 {
		return float64(en.pool.Bytes().Read() + en.server.Bytes().Read())
	})
	gauge("control_bytes_written", func() float64 {
		return float64(en.pool.Bytes().Written() + en.server.Bytes().Written())
	})
	gauge("roster_cut_off_seconds", en.membershipCutOffSeconds)
	gauge("roster_stale_messages", func() float64 { return float64(en.memberTable.Stale()) })
	progress := func(name string, read func(rollout.Progress) int) {
		gauge(name, func() float64 { return float64(en.rollouts.sum(read)) })
	}
	progress("engines_known", func(pr rollout.Progress) int { return pr.Engines })
	progress("engines_serving", func(pr rollout.Progress) int { return pr.Serving })
	progress("engines_unsettled", func(pr rollout.Progress) int { return pr.Unsettled })
	progress("engines_updated", func(pr rollout.Progress) int { return pr.Updated })
	gauge("leases_held", func() float64 { return float64(len(en.ownership.held(time.Now()))) })
	total := func(name string, read func(batch.Status) int) {
		gauge(name, func() float64 { return float64(en.sumTrainers(read)) })
	}
	total("attempts_running", func(st batch.Status) int { return st.Running })
	total("attempts_started", func(st batch.Status) int { return st.Counts.Attempts })
	total("attempts_failed", func(st batch.Status) int { return st.Counts.Failures })
	total("batches_sealed", func(st batch.Status) int { return st.Counts.Seals })
	total("batches_waiting", func(st batch.Status) int { return st.Sealed })
	total("payloads_lost", func(st batch.Status) int { return st.Counts.Lost })
	total("samples_filled", func(st batch.Status) int { return st.Counts.Samples })
	total("samples_missing", func(st batch.Status) int { return st.Unfilled })
	total("samples_stale", func(st batch.Status) int { return st.Counts.Stale })
	total("steps_overdue", func(st batch.Status) int { return st.Overdue })
	total("stragglers", func(st batch.Status) int { return st.Counts.Stragglers })
	total("tokens_wasted", func(st batch.Status) int { return st.Counts.WastedTokens })
}

func (en *Entry) sumTrainers(read func(batch.Status) int) int {
	sum := 0
	for _, st := range en.batches.Status() {
		sum += read(st)
	}
	return sum
}

// membershipCutOffSeconds returns how long so many attendants have been silent that the
// entry itself is probably partitioned from them, or 0.
func (en *Entry) membershipCutOffSeconds() float64 {
	since, ok := en.memberTable.CutOff()
	if !ok {
		return 0
	}
	return time.Since(since).Seconds()
}

// keyValueCutOffSeconds returns how long the key-value service has been unreachable, or 0.
func (en *Entry) keyValueCutOffSeconds() float64 {
	now := time.Now()
	since := configuration.CutOffSince(en.profiles.Status(), configuration.EntryRole, en.startedAt, now)
	if since.IsZero() {
		return 0
	}
	return now.Sub(since).Seconds()
}
