// Package incarnation distinguishes successive runs of an endpoint's process with the same ID.
package incarnation

// A Number identifies a run of an endpoint's process by its start in Unix milliseconds, by the
// endpoint's clock. It increases with each start. Zero means unknown.
type Number int64

// Supersedes reports whether a run is later than another one. It is false if either is unknown.
func (nu Number) Supersedes(other Number) bool { return nu > other && other != 0 }
