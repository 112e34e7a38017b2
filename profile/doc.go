// Package profile holds the operators' declarations of how each class of work
// is served. It parses and checks them, stores all of them as one versioned
// value in the platform's key-value service, and distributes the highest
// accepted revision to every process.
package profile
