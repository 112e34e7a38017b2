package directory

// supersedes reports whether the entry takes precedence over another endpoint's entry with
// the same address: the one with the later start or, if that is unknown for both or equal,
// the later revision. An entry without an incarnation never supersedes one that has it.
func (en Endpoint) supersedes(other Endpoint) bool {
	switch {
	case en.Incarnation != 0 && other.Incarnation != 0 && en.Incarnation != other.Incarnation:
		return en.Incarnation > other.Incarnation
	case (en.Incarnation == 0) != (other.Incarnation == 0):
		return other.Incarnation == 0
	default:
		return en.Revision >= other.Revision
	}
}

// mayReplace reports whether an endpoint may take another one's address: it has the same
// service, or one that the configuration defines.
//
// Entries may come from other writers. Without this check an entry of an undefined service
// would replace a serving endpoint, which would then receive no requests.
func (di *Directory) mayReplace(en, other Endpoint) bool {
	if di.configuration == nil || en.Service == other.Service {
		return true
	}
	_, defined := di.configuration.Service(en.Service)
	return defined
}

// displace keeps an endpoint that lost its address before the configuration was known, so
// that the conflict can be resolved again once it is. The lock is held.
func (di *Directory) displace(en Endpoint) {
	if di.configuration != nil {
		return
	}
	if di.displaced == nil {
		di.displaced = map[string]Endpoint{}
	}
	di.displaced[en.ID] = en
}
