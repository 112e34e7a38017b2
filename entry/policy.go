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

// callPolicy returns how the calls of a service are served under a document.
// The name may be "" for the service's default class. Its error is a
// *outcome.Refusal.
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
		FailureDomain:  preferred(se),
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

// preferred returns the failure domain that a service's requests prefer, as a
// route.Need names it: "" is the entry's own.
func preferred(se profile.Profile) string {
	if se.Preference() == profile.None {
		return route.AnyFailureDomain
	}
	return ""
}

// retryRatio returns a profile's retry budget as the retry package reads it,
// where 0 stands for the default and a negative number for none.
func retryRatio(budget float64) float64 {
	if budget == 0 {
		return -1
	}
	return budget
}

// findCalls returns the calls profile of a name, or of the default class.
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

// batchPolicy returns how a trainer's samples are made under a profile.
func batchPolicy(pr profile.Profile, trainer string) batch.Policy {
	return batch.Policy{
		Deadline:        pr.Deadline(),
		FreshnessWeight: pr.FreshnessWeight(),
		MaxAttempts:     pr.MaxAttempts(),
		Share:           pr.Share(trainer),
		StalenessBound:  engine.Version(pr.StalenessBound()),
		StragglerAfter:  pr.StragglerAfter(),
		StragglerRate:   pr.StragglerRate(),
		Straggling:      straggling(pr.StragglerRule()),
		WholeSteps:      pr.Delivery() == profile.WholeSteps,
	}
}

// straggling returns the batch package's value of a profile's rule.
func straggling(ru profile.StragglerRule) batch.StragglerRule {
	switch ru {
	case profile.Race:
		return batch.RestartStragglers
	case profile.Wait:
		return batch.KeepStragglers
	default:
		return batch.ResumeStragglers
	}
}
