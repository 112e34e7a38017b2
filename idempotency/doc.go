// Package idempotency keeps requests that are not repeatable from running twice. A
// key runs only at its home, the endpoint that rendezvous hashing names, and
// only if the home can be sure that it has not run there or elsewhere before.
//
// The rules use no clock but those of the homes' attendants, which may be up
// to Options.Skew apart. A caller whose clock is wrong is refused; it can't
// cause a second run.
package idempotency
