package settings

import "net/netip"

// An Attendant holds the settings of an attendant.
type Attendant struct {
	Process

	endpoints []Endpoint
	entries   []netip.AddrPort
}

// Endpoints returns the attendant's endpoints, in the order of the file.
func (at Attendant) Endpoints() []Endpoint { return at.endpoints }

// Entries returns the addresses of entries to report to while the instance list is
// unavailable.
func (at Attendant) Entries() []netip.AddrPort { return at.entries }

// ReadAttendant parses an attendant's settings; the findings name file. For invalid
// settings, the error is a *finding.Error with all findings.
func ReadAttendant(file string, data []byte) (Attendant, error) {
	var raw rawAttendant
	re := reader{role: AttendantRole}
	if err := re.decode(file, data, &raw); err != nil {
		return Attendant{}, err
	}
	re.checkRequired(len(raw.Endpoints))
	re.checkProcess(raw.rawProcess)
	entries := re.peerAddresses("entries", raw.Entries)
	endpoints := re.endpoints(raw.Endpoints)
	if err := re.err(); err != nil {
		return Attendant{}, err
	}
	return Attendant{Process: raw.process(), endpoints: endpoints, entries: entries}, nil
}
