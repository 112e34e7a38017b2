package measure

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// A Result holds the metrics of a case under a policy.
type Result struct {
	policy string
	seed   uint64
	values [columns]float64
}

// A column is a metric of a Result. Durations are in seconds.
type column int

// The columns of a table.
const (
	idle        column = iota // fraction of their time that trainers wait, mean over trainers
	idleWorst                 // maximum over trainers
	stalenessOf               // versions at delivery, mean
	stalenessP99
	batchP50
	batchP99
	liveP50
	liveP99
	goodput // fraction of the live calls that completed in time
	wasted  // fraction of the generated tokens that no trainer received
	prefixHits
	lengthBias // ratio of the mean delivered to the mean wanted length
	samples    // delivered
	overBound  // samples over the staleness bound
	lost       // samples missing from completed steps
	doubled    // samples
	columns
)

// columnHeads holds the columns' names and numbers of decimals.
var columnHeads = [columns]struct {
	name     string
	decimals int
}{
	idle:         {"idle", 3},
	idleWorst:    {"idle-worst", 3},
	stalenessOf:  {"stale-mean", 3},
	stalenessP99: {"stale-p99", 1},
	batchP50:     {"batch-p50", 1},
	batchP99:     {"batch-p99", 1},
	liveP50:      {"live-p50", 2},
	liveP99:      {"live-p99", 2},
	goodput:      {"goodput", 4},
	wasted:       {"wasted", 3},
	prefixHits:   {"prefix-hits", 3},
	lengthBias:   {"length-bias", 3},
	samples:      {"samples", 0},
	overBound:    {"over-bound", 0},
	lost:         {"lost", 0},
	doubled:      {"doubled", 0},
}

// Result returns the metrics of the run so far.
func (wo *World) Result() Result {
	wo.sampler.Count()
	le, to := wo.ledger, wo.ledger.Totals()
	re := Result{policy: wo.policy.Name, seed: wo.seed}
	for _, tr := range wo.trainers {
		re.values[idle] += tr.IdleRatio() / float64(len(wo.trainers))
		re.values[idleWorst] = max(re.values[idleWorst], tr.IdleRatio())
		re.values[samples] += float64(le.delivered[tr.row.Name])
	}
	re.values[stalenessOf] = le.staleness.Mean() / milli
	re.values[stalenessP99] = float64(le.staleness.ValueAtQuantile(99)) / milli
	re.values[batchP50] = float64(le.batchTime.ValueAtQuantile(50)) / milli
	re.values[batchP99] = float64(le.batchTime.ValueAtQuantile(99)) / milli
	re.values[liveP50] = float64(wo.caller.answers.ValueAtQuantile(50)) / milli
	re.values[liveP99] = float64(wo.caller.answers.ValueAtQuantile(99)) / milli
	re.values[goodput] = wo.caller.Goodput()
	re.values[wasted] = to.Wasted()
	re.values[prefixHits] = wo.prefixHits()
	re.values[lengthBias] = to.LengthBias()
	re.values[overBound] = float64(le.overBound)
	re.values[lost] = float64(to.lost)
	re.values[doubled] = float64(to.doubled)
	return re
}

// milli converts the histograms' values into seconds and versions.
const milli = 1000

func (wo *World) prefixHits() float64 {
	var hits, lookups int
	for _, en := range wo.endpoints {
		hits += wo.attendants[en.ID].engine.tally.hits
		lookups += wo.attendants[en.ID].engine.tally.lookups
	}
	return float64(hits) / float64(max(1, lookups))
}

// Table formats results as a table, a line each.
func Table(res []Result) string {
	var sb strings.Builder
	tw := tabwriter.NewWriter(&sb, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(tw, "policy\tseed\t")
	for _, he := range columnHeads {
		fmt.Fprintf(tw, "%s\t", he.name)
	}
	for _, re := range res {
		fmt.Fprintf(tw, "\n%s\t%s\t", re.policy, seedName(re.seed))
		for co, he := range columnHeads {
			fmt.Fprintf(tw, "%.*f\t", he.decimals, re.values[co])
		}
	}
	fmt.Fprintln(tw)
	tw.Flush()
	return sb.String()
}

func seedName(seed uint64) string {
	if seed == 0 {
		return "mean"
	}
	return strconv.FormatUint(seed, 10)
}

// Means returns the mean over the seeds of each policy, in their order.
func Means(res []Result) []Result {
	var means []Result
	for _, re := range res {
		if !slices.ContainsFunc(means, func(me Result) bool { return me.policy == re.policy }) {
			means = append(means, meanOf(re.policy, res))
		}
	}
	return means
}

func meanOf(policy string, res []Result) Result {
	mean, count := Result{policy: policy}, 0.0
	for _, re := range res {
		if re.policy != policy {
			continue
		}
		count++
		for co, value := range re.values {
			mean.values[co] += value
		}
	}
	for co := range mean.values {
		mean.values[co] /= count
	}
	return mean
}
