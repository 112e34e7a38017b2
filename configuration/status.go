package configuration

import (
	"time"

	"wisteriacroft/message"
	"wisteriacroft/profile"
)

// EntryRole is the role of entries. Only entries read the configuration from the
// key-value service.
const EntryRole = "entry"

// cutOffAfter is the time without contact after which a process counts as cut off.
const cutOffAfter = 30 * time.Second

// FillStatus sets the fields of a status that concern the configuration.
func FillStatus(st *message.Status, ps profile.Status, now time.Time) {
	st.CutOffSince = CutOffSince(ps, st.Role, st.StartedAt, now)
	st.Revision = ps.Revision
	st.RevisionSource = revisionSource(ps.Source)
}

// CutOffSince returns the time of a process's last contact with a source of the
// configuration if the process is cut off, and otherwise the zero time. An entry's source
// is the key-value service, an attendant's are also its peers. Without any contact, it
// uses startedAt.
func CutOffSince(ps profile.Status, role string, startedAt, now time.Time) time.Time {
	contact := ps.ServiceHeardAt
	if role != EntryRole && ps.PeerHeardAt.After(contact) {
		contact = ps.PeerHeardAt
	}
	if contact.IsZero() {
		contact = startedAt
	}
	if now.Sub(contact) < cutOffAfter {
		return time.Time{}
	}
	return contact
}

// revisionSource converts a source for a status.
func revisionSource(so profile.Source) message.RevisionSource {
	switch so {
	case profile.FromPeer:
		return message.FromPeer
	case profile.FromService:
		return message.FromKeyValue
	default:
		return message.FromNowhere
	}
}
