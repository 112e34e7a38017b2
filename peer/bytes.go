package peer

import "sync/atomic"

// A Bytes counts the bytes read and written on connections, without TCP headers. It is
// safe for concurrent use.
type Bytes struct {
	read    atomic.Int64
	written atomic.Int64
}

// Read returns the number of bytes read.
func (by *Bytes) Read() int64 { return by.read.Load() }

// Written returns the number of bytes written.
func (by *Bytes) Written() int64 { return by.written.Load() }
