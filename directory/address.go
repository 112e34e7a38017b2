package directory

// outlives reports whether the entry at an address counts rather than another
// endpoint's there: the later start, or where that can't be told, the entry that
// was written last. One that names no start is never taken for the newer one.
func (en Endpoint) outlives(other Endpoint) bool {
	switch {
	case en.Incarnation != 0 && other.Incarnation != 0 && en.Incarnation != other.Incarnation:
		return en.Incarnation > other.Incarnation
	case (en.Incarnation == 0) != (other.Incarnation == 0):
		return other.Incarnation == 0
	default:
		return en.Revision >= other.Revision
	}
}

// rivals reports whether an endpoint may take another one's address: as another
// start of the same service, or of one that the configuration names.
//
// Entries may come from other writers. One of a service that no one has named
// took the address of an endpoint that serves, which then got nothing.
func (di *Directory) rivals(en, other Endpoint) bool {
	if di.configuration == nil || en.Service == other.Service {
		return true
	}
	_, named := di.configuration.Service(en.Service)
	return named
}

// putAside keeps an endpoint that lost its address before it was known which
// services there are.
func (di *Directory) putAside(en Endpoint) {
	if di.configuration != nil {
		return
	}
	if di.aside == nil {
		di.aside = map[string]Endpoint{}
	}
	di.aside[en.ID] = en
}
