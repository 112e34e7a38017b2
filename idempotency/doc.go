// Package idempotency prevents requests that are not repeatable from running twice. A key runs only
// at its home, the endpoint chosen by rendezvous hashing, and only if it cannot have run before,
// there or elsewhere.
//
// The rules use only the clocks of attendants, which may differ by up to Options.Skew. A caller
// with a wrong clock is refused; it can't cause a second run.
package idempotency
