package forward

import "io"

// A countedBody is a request body that counts its bytes in a memory while it is read.
type countedBody struct {
	io.ReadCloser
	customer string
	memory   *memory
	read     int64
	taken    int64 // bytes counted in memory: those read, or all if reserved
}

// reserve returns an error, before any of the body is read, if it does not fit. A large body is counted
// as a whole; see admission.MemoryBudget.ReservesWhole.
func (cb *countedBody) reserve(size int64) error {
	reserve, err := cb.memory.admit(cb.customer, size)
	if err != nil || !reserve {
		return err
	}
	if err := cb.memory.addIfFits(cb.customer, 0, size); err != nil {
		return err
	}
	cb.taken = size
	return nil
}

// Read implements io.Reader. It returns the error of memory.addIfFits once the body no longer fits.
func (cb *countedBody) Read(buf []byte) (int, error) {
	n, err := cb.ReadCloser.Read(buf)
	cb.read += int64(n)
	if more := cb.read - cb.taken; more > 0 {
		if err := cb.memory.addIfFits(cb.customer, cb.taken, more); err != nil {
			return 0, err
		}
		cb.taken = cb.read
	}
	return n, err
}
