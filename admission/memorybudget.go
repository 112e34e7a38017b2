package admission

// MemoryBudget counts the bytes of request bodies and of responses that callers have not read yet, and
// limits them. The zero MemoryBudget does not limit. It is not safe for concurrent use.
//
// Callers that read slowly would otherwise let memory grow with the number of callers until the
// process runs out of it. At the limit new requests are rejected; responses are delivered even if
// they exceed it.
type MemoryBudget struct {
	byCustomer map[string]int64
	bound      int64 // 0 for no limit
	total      int64
}

// NewMemoryBudget returns a MemoryBudget with a limit in bytes; 0 means no limit.
func NewMemoryBudget(bound int64) MemoryBudget { return MemoryBudget{bound: bound} }

// SetBound changes the limit in bytes; 0 means no limit.
func (mb *MemoryBudget) SetBound(bound int64) { mb.bound = bound }

// Bound returns the limit in bytes, or 0 for no limit.
func (mb *MemoryBudget) Bound() int64 { return mb.bound }

// Fits reports whether bytes more of a customer's body may be read, of which taken bytes are counted
// already.
//
// The limit of a customer is a dynamic threshold: including this body, it may hold as much as is free
// without the body, about half of the limit for a single customer and less for each of several. A
// customer that holds nothing else may use all free bytes, so that any body within the limit is
// accepted when nothing else is held.
func (mb *MemoryBudget) Fits(customer string, taken, bytes int64) bool {
	if mb.bound <= 0 || mb.total+bytes <= 0 {
		return true
	}
	size, free, beside := taken+bytes, mb.bound-mb.total+taken, mb.byCustomer[customer]-taken
	if size > free {
		return false
	}
	return beside <= 0 || customer == "" || beside+size <= free
}

// TooLarge reports whether a body exceeds the limit by itself.
func (mb *MemoryBudget) TooLarge(size int64) bool { return mb.bound > 0 && size > mb.bound }

// ReservesWhole reports whether a body, being larger than half of the limit, must be counted as a whole
// before it is read. Two such bodies read concurrently would otherwise cause each other's rejection,
// and again on each retry.
func (mb *MemoryBudget) ReservesWhole(size int64) bool { return mb.bound > 0 && size > mb.bound/2 }

// Add counts bytes held for a customer; a negative number releases bytes.
func (mb *MemoryBudget) Add(customer string, bytes int64) {
	mb.total += bytes
	if mb.byCustomer == nil {
		mb.byCustomer = map[string]int64{}
	}
	mb.byCustomer[customer] += bytes
	if mb.byCustomer[customer] <= 0 {
		delete(mb.byCustomer, customer)
	}
}

// Total returns the number of bytes held.
func (mb *MemoryBudget) Total() int64 { return mb.total }

// Largest returns the customer with the most bytes held, the first by name if several have as many.
func (mb *MemoryBudget) Largest() (customer string, bytes int64) {
	for name, held := range mb.byCustomer {
		if held > bytes || held == bytes && name < customer {
			customer, bytes = name, held
		}
	}
	return customer, bytes
}
