// Package entry is the role that callers and trainers connect to. It routes live
// calls and owns the batches of trainers and the weight rollouts of services. It keeps
// no persistent state itself: that is in the key-value service and the data folders.
package entry
