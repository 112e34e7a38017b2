package trial

import (
	"wisteriacroft/standin"
)

// A Summary is the result of a trial, printed as a line of JSON.
type Summary struct {
	SamplesWanted         int     `json:"samples-wanted"`
	SamplesDelivered      int     `json:"samples-delivered"` // complete, and as requested
	SamplesLost           int     `json:"samples-lost"`
	SamplesDoubled        int     `json:"samples-doubled"`
	SamplesStale          int     `json:"samples-stale"`
	SamplesMisattributed  int     `json:"samples-misattributed"`
	Calls                 int     `json:"calls"`
	AnswersWhole          int     `json:"answers-whole"`
	AnswersCrossed        int     `json:"answers-crossed"`
	NotRepeatableRunTwice int     `json:"not-repeatable-run-twice"`
	NotRunButRan          int     `json:"not-run-but-ran"`
	TrainerIdleRatio      float64 `json:"trainer-idle-ratio"` // mean of the trainers
	StalenessMean         float64 `json:"staleness-mean"`     // in versions, of the samples
	ConfigRevision        uint64  `json:"config-revision"`    // highest of the deployments

	broken   []string
	trainers int
}

// Broken returns the violated guarantees, a line each.
func (su Summary) Broken() []string { return su.broken }

// newSummary returns the summary of the clients' counts and the stored revision.
func newSummary(counted standin.ClientsSummary, revision uint64) Summary {
	sum := Summary{ConfigRevision: revision}
	for _, tr := range counted.Trainers {
		delivered := tr.Delivered - tr.Damaged
		sum = sum.plus(Summary{
			SamplesWanted:        tr.Wanted,
			SamplesDelivered:     delivered,
			SamplesLost:          tr.Wanted - delivered,
			SamplesDoubled:       tr.Doubled,
			SamplesStale:         tr.Stale,
			SamplesMisattributed: tr.Misattributed,
			TrainerIdleRatio:     tr.IdleRatio,
			StalenessMean:        tr.StalenessMean,
			trainers:             1,
		})
	}
	for _, ca := range counted.Callers {
		sum.Calls += ca.Calls
		sum.AnswersWhole += ca.Whole
		sum.AnswersCrossed += ca.Crossed
		sum.NotRepeatableRunTwice += ca.NotRepeatableRunTwice
		sum.NotRunButRan += ca.NotRunButRan
	}
	return sum
}

// plus returns the sum of two summaries.
func (su Summary) plus(other Summary) Summary {
	return Summary{
		SamplesWanted:         su.SamplesWanted + other.SamplesWanted,
		SamplesDelivered:      su.SamplesDelivered + other.SamplesDelivered,
		SamplesLost:           su.SamplesLost + other.SamplesLost,
		SamplesDoubled:        su.SamplesDoubled + other.SamplesDoubled,
		SamplesStale:          su.SamplesStale + other.SamplesStale,
		SamplesMisattributed:  su.SamplesMisattributed + other.SamplesMisattributed,
		Calls:                 su.Calls + other.Calls,
		AnswersWhole:          su.AnswersWhole + other.AnswersWhole,
		AnswersCrossed:        su.AnswersCrossed + other.AnswersCrossed,
		NotRepeatableRunTwice: su.NotRepeatableRunTwice + other.NotRepeatableRunTwice,
		NotRunButRan:          su.NotRunButRan + other.NotRunButRan,
		TrainerIdleRatio:      mean(su.TrainerIdleRatio, su.trainers, other.TrainerIdleRatio, other.trainers),
		StalenessMean:         mean(su.StalenessMean, su.SamplesDelivered, other.StalenessMean, other.SamplesDelivered),
		ConfigRevision:        max(su.ConfigRevision, other.ConfigRevision),
		broken:                append(append([]string{}, su.broken...), other.broken...),
		trainers:              su.trainers + other.trainers,
	}
}

// mean returns the weighted mean of two means.
func mean(first float64, firstCount int, second float64, secondCount int) float64 {
	if firstCount+secondCount == 0 {
		return 0
	}
	return (first*float64(firstCount) + second*float64(secondCount)) / float64(firstCount+secondCount)
}
