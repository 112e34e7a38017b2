package forward

import "io"

// A countedBody is a request's body whose bytes count as held as they are read.
type countedBody struct {
	io.ReadCloser
	customer string
	memory   *memory
	read     int64
	taken    int64 // bytes counted as held: those read, or all that were reserved
}

// reserve refuses a body that doesn't fit now, before any of it is read. One that is large
// counts as held as a whole from now on; see admission.MemoryBudget.ReservesWhole.
func (cb *countedBody) reserve(size int64) error {
	reserve, err := cb.memory.admits(cb.customer, size)
	if err != nil || !reserve {
		return err
	}
	if err := cb.memory.take(cb.customer, 0, size); err != nil {
		return err
	}
	cb.taken = size
	return nil
}

// Read implements io.Reader. It fails as memory.take does once no more fits.
func (cb *countedBody) Read(buf []byte) (int, error) {
	n, err := cb.ReadCloser.Read(buf)
	cb.read += int64(n)
	if more := cb.read - cb.taken; more > 0 {
		if err := cb.memory.take(cb.customer, cb.taken, more); err != nil {
			return 0, err
		}
		cb.taken = cb.read
	}
	return n, err
}
