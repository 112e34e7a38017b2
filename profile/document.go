package profile

import (
	"slices"
	"sort"
	"strings"
)

// A Document holds all profiles at one revision and the recent changes that
// led to it. It is immutable. The zero Document has no profiles and means that
// no change was accepted yet.
type Document struct {
	changes  []Change  // by revision, newest last
	profiles []Profile // by name
	revision uint64
	sets     []EndpointSet // of all services, oldest first
}

// NewDocument returns a document without recorded changes.
func NewDocument(revision uint64, profiles ...Profile) Document {
	do := Document{
		profiles: append([]Profile{}, profiles...),
		revision: revision,
	}
	sort.Slice(do.profiles, func(i, j int) bool {
		return do.profiles[i].name < do.profiles[j].name
	})
	return do
}

// maxRecordedProfiles bounds the profile names in all recorded changes. The oldest
// changes drop their names first and keep their ids.
const maxRecordedProfiles = 1024

// Change returns the recorded change with an id.
func (do Document) Change(id string) (Change, bool) {
	for _, ch := range do.changes {
		if ch.id == id {
			return ch, true
		}
	}
	return Change{}, false
}

// Changes returns the recorded changes, newest last.
func (do Document) Changes() []Change { return do.changes }

// Class returns the profile of a class of work of a service.
func (do Document) Class(service string, kind Kind, class string) (Profile, bool) {
	for _, pr := range do.profiles {
		if pr.service == service && pr.kind == kind && pr.class == class {
			return pr, true
		}
	}
	return Profile{}, false
}

// Profile returns the profile with a name.
func (do Document) Profile(name string) (Profile, bool) {
	i, ok := sort.Find(len(do.profiles), func(i int) int {
		return strings.Compare(name, do.profiles[i].name)
	})
	if !ok {
		return Profile{}, false
	}
	return do.profiles[i], true
}

// Profiles returns all profiles, sorted by name. The caller must not modify them.
func (do Document) Profiles() []Profile { return do.profiles }

// Revision returns the revision, which each accepted change increments.
func (do Document) Revision() uint64 { return do.revision }

// Service returns the profile that declares how a service is run.
func (do Document) Service(name string) (Profile, bool) {
	return do.Class(name, Service, "")
}

// Services returns the profiles of kind Service, sorted by name.
func (do Document) Services() []Profile {
	var services []Profile
	for _, pr := range do.profiles {
		if pr.kind == Service {
			services = append(services, pr)
		}
	}
	return services
}

// Trainer returns the profiles that cover a trainer's samples, sorted by name.
func (do Document) Trainer(name string) []Profile {
	var profiles []Profile
	for _, pr := range do.profiles {
		if pr.Share(name) > 0 {
			profiles = append(profiles, pr)
		}
	}
	return profiles
}

// next returns the next revision, with the given profiles and the change recorded.
func (do Document) next(profiles []Profile, ch Change) Document {
	ch.revision = do.revision + 1
	next := NewDocument(ch.revision, profiles...)
	next.changes = trimChanges(append(slices.Clone(do.changes), ch))
	next.recordEndpointSets(do)
	return next
}

// trimChanges drops the oldest changes and names beyond the bounds.
func trimChanges(changes []Change) []Change {
	if len(changes) > maxChanges {
		changes = changes[len(changes)-maxChanges:]
	}
	named := 0
	for i := len(changes) - 1; i >= 0; i-- {
		named += len(changes[i].changed)
		if named > maxRecordedProfiles && i < len(changes)-1 {
			changes[i].changed = nil
		}
	}
	return changes
}
