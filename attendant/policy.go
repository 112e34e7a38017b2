package attendant

import (
	"math"
	"time"

	"wisteriacroft/gate"
	"wisteriacroft/idempotency"
	"wisteriacroft/profile"
)

// shareScale converts the fractional shares of profiles to the integer weights of a gate.
const shareScale = 100

// gatePolicy returns the gate policy of a service under a document.
func gatePolicy(do profile.Document, service string) gate.Policy {
	var po gate.Policy
	if pr, ok := do.Service(service); ok {
		po.MaxRunning = pr.MaxRunning()
		po.MaxWaiting = pr.MaxWaiting()
	}
	for _, pr := range do.Profiles() {
		if pr.Service() != service || pr.Kind() == profile.Service {
			continue
		}
		po.Profiles = append(po.Profiles, gate.ProfileLimit{
			MaxRunning: pr.MaxRunning(),
			MaxWaiting: pr.MaxWaiting(),
			Name:       pr.Name(),
		})
		for _, trainer := range pr.Trainers() {
			weight := int(math.Round(pr.Share(trainer) * shareScale))
			po.Shares = append(po.Shares, gate.Share{Name: trainer, Weight: max(weight, 1)})
		}
	}
	return po
}

// homes returns the endpoints of a service that may run keys, and the former sets, oldest first.
func homes(do profile.Document, service string) (set idempotency.EndpointSet, former []idempotency.EndpointSet) {
	for _, es := range do.EndpointSets(service) {
		former = append(former, idempotency.EndpointSet{Endpoints: es.Endpoints, Revision: es.Revision})
	}
	if len(former) == 0 {
		return idempotency.EndpointSet{Revision: do.Revision()}, nil
	}
	// Set under the document's own revision, up to which the table can yield.
	set = idempotency.EndpointSet{Endpoints: former[len(former)-1].Endpoints, Revision: do.Revision()}
	return set, former
}

// answerRetention returns how long answers to non-repeatable calls of a service are kept: the
// maximum of its profiles, or 0 if there is none.
func answerRetention(do profile.Document, service string) time.Duration {
	var longest time.Duration
	for _, pr := range do.Profiles() {
		if pr.Service() == service && pr.Kind() == profile.Calls && !pr.Repeatable() {
			longest = max(longest, pr.AnswerRetention())
		}
	}
	return longest
}

// priority returns the priority of a profile, or 0 if it is unknown.
func (at *Attendant) priority(name string) int {
	pr, _ := at.profiles.Current().Profile(name)
	return pr.Priority()
}

// applyProfiles applies the active configuration to the endpoints' gates and key tables. It is a
// system.
func (at *Attendant) applyProfiles(now time.Time) {
	do := at.profiles.Current()
	if do.Revision() == at.applied {
		return
	}
	at.applied = do.Revision()
	for _, en := range at.endpoints {
		en.gate.SetPolicy(now, gatePolicy(do, en.service))
		if en.plain != nil {
			set, former := homes(do, en.service)
			en.keys.SetHomes(now, set, former)
			en.keys.SetRetention(answerRetention(do, en.service))
		}
	}
	at.options.Log.WithField("revision", at.applied).Info("profiles applied")
}
