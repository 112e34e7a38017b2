package settings

import "net/netip"

// An Entry holds the settings of an entry.
type Entry struct {
	Process

	peers []netip.AddrPort
}

// Peers returns the addresses of other entries to contact while the instance list is
// unavailable.
func (en Entry) Peers() []netip.AddrPort { return en.peers }

// ReadEntry parses an entry's settings; the findings name file. For invalid settings, the
// error is a *finding.Error with all findings.
func ReadEntry(file string, data []byte) (Entry, error) {
	var raw rawEntry
	re := reader{role: EntryRole}
	if err := re.decode(file, data, &raw); err != nil {
		return Entry{}, err
	}
	re.checkRequired(0)
	re.checkProcess(raw.rawProcess)
	peers := re.peerAddresses("peers", raw.Peers)
	if err := re.err(); err != nil {
		return Entry{}, err
	}
	return Entry{Process: raw.process(), peers: peers}, nil
}
