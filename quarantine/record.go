package quarantine

import "cmp"

// A Record is something that was seen of a request: an endpoint that ended while
// it ran the request, or an answer.
type Record struct {
	AtMS     int64 // Unix milliseconds, by the clock of the process that saw it
	Digest   Digest
	Endpoint string `cbor:",omitempty"` // the start of the endpoint that ended; empty for an answer
}

func compareRecords(a, b Record) int {
	return cmp.Or(cmp.Compare(a.Digest, b.Digest), cmp.Compare(a.AtMS, b.AtMS), cmp.Compare(a.Endpoint, b.Endpoint))
}
