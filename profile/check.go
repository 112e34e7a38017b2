package profile

import (
	"slices"
	"time"

	"wisteriacroft/finding"
	"wisteriacroft/keyvalue"
)

// checkDeclaration reports contradictions within one declaration.
func checkDeclaration(de declaration, li *finding.List) {
	pr := de.profile
	for _, sh := range pr.shares {
		if !slices.Contains(pr.trainers, sh.Trainer) {
			de.add(li, sharesKey+"."+sh.Trainer, "the share names no trainer of this profile")
		}
	}
	if pr.attemptTimeout > pr.deadline {
		de.add(li, attemptTimeoutKey, "%s is longer than the deadline of %s",
			formatDuration(pr.attemptTimeout), formatDuration(pr.deadline))
	}
	if pr.kind == Calls && !pr.repeatable && pr.answerRetention < pr.deadline {
		de.add(li, answerRetentionKey, "%s is shorter than the deadline of %s: a repeat could miss its answer",
			formatDuration(pr.answerRetention), formatDuration(pr.deadline))
	}
	if pr.serviceType == Engine && pr.servingFloor >= 1 {
		de.add(li, servingFloorKey, "all endpoints go on serving: weights could never change")
	}
}

// checkDeclarations reports contradictions between declarations.
func checkDeclarations(des []declaration, li *finding.List) {
	checkClaims(des, li)
	for _, de := range des {
		if de.profile.kind == Calls || de.profile.kind == Samples {
			checkAgainstService(de, des, li)
		}
	}
	checkSize(des, li)
}

// A claim is a name that at most one declaration may use in a scope.
type claim struct {
	key   string // the key that makes the claim
	name  string
	scope string
}

// claimsOf returns the names that only this declaration may use.
func claimsOf(pr Profile) []claim {
	if pr.service == "" {
		return nil
	}
	var claims []claim
	switch pr.kind {
	case Calls, Samples:
		claims = append(claims, claim{classKey, pr.class, string(pr.kind) + " of " + pr.service + " of class"})
	case Service:
		claims = append(claims, claim{serviceKey, pr.service, "the service"})
	}
	for _, trainer := range pr.trainers {
		claims = append(claims, claim{trainersKey, trainer, "samples of " + pr.service + " for trainer"})
	}
	for _, endpoint := range pr.endpoints {
		claims = append(claims, claim{endpointsKey, endpoint, "the endpoint"})
	}
	return claims
}

// checkClaims reports declarations with the same claim.
func checkClaims(des []declaration, li *finding.List) {
	owners := map[claim]string{}
	for _, de := range des {
		for _, cl := range claimsOf(de.profile) {
			owner, taken := owners[cl]
			if taken {
				de.add(li, cl.key, "%s %q is claimed by profile %q too", cl.scope, cl.name, owner)
				continue
			}
			owners[cl] = de.profile.name
		}
	}
}

// checkAgainstService reports values that the profile's service does not allow.
func checkAgainstService(de declaration, des []declaration, li *finding.List) {
	pr := de.profile
	if pr.service == "" {
		return // reported as missing
	}
	se, ok := serviceOf(des, pr.service)
	if !ok {
		de.add(li, serviceKey, "no declaration of kind %q has service %q", Service, pr.service)
		return
	}
	if pr.maxRunning > se.maxRunning {
		de.add(li, maxRunningKey, "%d is more than the %d that one endpoint of %s runs",
			pr.maxRunning, se.maxRunning, pr.service)
	}
	if pr.kind == Calls && pr.deadline > se.leaveTimeout {
		de.add(li, deadlineKey, "%s is longer than the leave-timeout of %s, %s: a leaving endpoint would cut calls off",
			formatDuration(pr.deadline), pr.service, formatDuration(se.leaveTimeout))
	}
	if pr.kind == Samples {
		checkStaleness(de, se, li)
	}
}

// checkStaleness reports a staleness bound that samples can't meet: an attempt or
// step that may take longer than the versions within the bound last is stale at
// delivery.
func checkStaleness(de declaration, se Profile, li *finding.List) {
	pr := de.profile
	if se.serviceType == Plain {
		de.add(li, serviceKey, "%s is a plain service: it makes no samples", pr.service)
		return
	}
	fresh := time.Duration(pr.stalenessBound+1) * se.versionInterval
	longest, name := pr.attemptTimeout, attemptTimeoutKey
	if pr.delivery == WholeSteps {
		longest, name = pr.deadline, deadlineKey
	}
	if longest > fresh {
		de.add(li, stalenessBoundKey, "%d can't be met: samples stay within it for %s, and the %s is %s",
			pr.stalenessBound, formatDuration(fresh), name, formatDuration(longest))
	}
}

// serviceOf returns the profile that declares a service.
func serviceOf(des []declaration, service string) (Profile, bool) {
	for _, de := range des {
		if de.profile.kind == Service && de.profile.service == service {
			return de.profile, true
		}
	}
	return Profile{}, false
}

// checkSize reports declarations that together exceed the size of one value of
// the key-value service.
func checkSize(des []declaration, li *finding.List) {
	size := 0
	for _, de := range des {
		size += len(de.profile.source)
	}
	if size > keyvalue.MaxValueSize {
		li.Add("", 0, "", "all declarations together take %d bytes: more than the %d of one value",
			size, keyvalue.MaxValueSize)
	}
}
