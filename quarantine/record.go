package quarantine

import "cmp"

// A Record is an event of a request: the crash of an endpoint that ran it, or a success.
type Record struct {
	AtMS     int64 // Unix milliseconds, by the clock of the process that saw it
	Digest   Digest
	Endpoint string `cbor:",omitempty"` // incarnation of the endpoint that crashed; empty for a success
}

func compareRecords(a, b Record) int {
	return cmp.Or(cmp.Compare(a.Digest, b.Digest), cmp.Compare(a.AtMS, b.AtMS), cmp.Compare(a.Endpoint, b.Endpoint))
}
