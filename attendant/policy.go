package attendant

import (
	"math"
	"time"

	"wisteriacroft/gate"
	"wisteriacroft/idempotency"
	"wisteriacroft/profile"
)

// shareScale turns the profiles' shares, which are fractions, into the whole
// weights of a gate.
const shareScale = 100

// gatePolicy returns the policy of a service's gates under a document.
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

// homes returns the endpoints of a service that may run keys, and those that
// might before, oldest first.
func homes(do profile.Document, service string) (set idempotency.EndpointSet, former []idempotency.EndpointSet) {
	for _, es := range do.EndpointSets(service) {
		former = append(former, idempotency.EndpointSet{Endpoints: es.Endpoints, Revision: es.Revision})
	}
	if len(former) == 0 {
		return idempotency.EndpointSet{Revision: do.Revision()}, nil
	}
	// Taken under the document's own revision, so that the table knows how far
	// its word reaches.
	set = idempotency.EndpointSet{Endpoints: former[len(former)-1].Endpoints, Revision: do.Revision()}
	return set, former
}

// answerRetention returns how long answers to calls of a service that may not
// be repeated are kept: the longest of its profiles, or 0 if there is none.
func answerRetention(do profile.Document, service string) time.Duration {
	var longest time.Duration
	for _, pr := range do.Profiles() {
		if pr.Service() == service && pr.Kind() == profile.Calls && !pr.Repeatable() {
			longest = max(longest, pr.AnswerRetention())
		}
	}
	return longest
}

// priority returns the priority of a profile in force, or 0.
func (at *Attendant) priority(name string) int {
	pr, _ := at.profiles.Current().Profile(name)
	return pr.Priority()
}

// applyProfiles puts the document in force into the endpoints' gates and
// tables. It is a system.
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
			en.once.SetHomes(now, set, former)
			en.once.SetRetention(answerRetention(do, en.service))
		}
	}
	at.options.Log.WithField("revision", at.applied).Info("profiles in force")
}
