// Package incarnation tells starts of an endpoint's process apart that have the
// same ID.
package incarnation

// A Number names one start of an endpoint's process: the Unix millisecond of the
// start, by the endpoint's own clock. It grows with each start. Zero means that
// it is not known.
type Number int64

// Supersedes reports whether a start came after another one. Of a start that is
// not known nothing can be said, so that neither supersedes the other.
func (nu Number) Supersedes(other Number) bool { return nu > other && other != 0 }
