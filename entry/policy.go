package entry

import (
	"strconv"

	"wisteriacroft/batch"
	"wisteriacroft/call"
	"wisteriacroft/engine"
	"wisteriacroft/idempotency"
	"wisteriacroft/outcome"
	"wisteriacroft/profile"
	"wisteriacroft/retry"
	"wisteriacroft/route"
)

// defaultClass is the class of calls that name no profile.
const defaultClass = "default"

// callPolicy returns the policy of a document for calls of a service. The name of the
// profile may be "" for the service's default class. The error is an *outcome.Refusal.
func callPolicy(do profile.Document, service, name string) (call.Policy, error) {
	se, ok := do.Service(service)
	if !ok {
		return call.Policy{}, unknownProfile("no profile in force declares service " + strconv.Quote(service))
	}
	pr, ok := findCalls(do, service, name)
	if !ok {
		return call.Policy{}, unknownProfile("no profile " + strconv.Quote(name) +
			" in force serves calls of service " + strconv.Quote(service))
	}
	return call.Policy{
		AttemptTimeout: pr.AttemptTimeout(),
		Deadline:       pr.Deadline(),
		FailureDomain:  preferredDomain(se),
		Homes:          idempotency.EndpointSet{Endpoints: se.Endpoints(), Revision: do.Revision()},
		Kind:           call.Kind(se.ServiceType()),
		MaxAnswerHeld:  int(pr.MaxAnswerSize()),
		MaxBodySize:    int(pr.MaxRequestSize()),
		Profile:        pr.Name(),
		Repeatable:     pr.Repeatable(),
		Retry: retry.Policy{
			MaxAttempts: pr.MaxAttempts(),
			Ratio:       retryRatio(pr.RetryBudget()),
		},
		Revision: do.Revision(),
		Service:  service,
	}, nil
}

// preferredDomain returns the failure domain preferred by a service's requests, as the value
// of a route.Need: "" is the entry's own.
func preferredDomain(se profile.Profile) string {
	if se.Preference() == profile.None {
		return route.AnyFailureDomain
	}
	return ""
}

// retryRatio converts a profile's retry budget for the retry package, where 0 means the
// default and a negative number means no retries.
func retryRatio(budget float64) float64 {
	if budget == 0 {
		return -1
	}
	return budget
}

// findCalls returns the calls profile called name, or of the default class if name is "".
func findCalls(do profile.Document, service, name string) (profile.Profile, bool) {
	if name == "" {
		return do.Class(service, profile.Calls, defaultClass)
	}
	pr, ok := do.Profile(name)
	return pr, ok && pr.Kind() == profile.Calls && pr.Service() == service
}

func unknownProfile(text string) error {
	return outcome.NewRefusal(outcome.UnknownProfile, "", text)
}

// batchPolicy returns a profile's policy for a trainer's batches.
func batchPolicy(pr profile.Profile, trainer string) batch.Policy {
	return batch.Policy{
		Deadline:        pr.Deadline(),
		FreshnessWeight: pr.FreshnessWeight(),
		MaxAttempts:     pr.MaxAttempts(),
		Share:           pr.Share(trainer),
		StalenessBound:  engine.Version(pr.StalenessBound()),
		StragglerAfter:  pr.StragglerAfter(),
		StragglerRate:   pr.StragglerRate(),
		Straggling:      stragglerRule(pr.StragglerRule()),
		WholeSteps:      pr.Delivery() == profile.WholeSteps,
	}
}

// stragglerRule converts a profile's straggler rule for the batch package.
func stragglerRule(ru profile.StragglerRule) batch.StragglerRule {
	switch ru {
	case profile.Race:
		return batch.RestartStragglers
	case profile.Wait:
		return batch.KeepStragglers
	default:
		return batch.ResumeStragglers
	}
}
