package admission

// MemoryBudget counts the bytes that a sender holds for callers: bodies that are being read and
// answers that are not read yet. The zero MemoryBudget bounds nothing.
//
// Load pattern: callers that read slowly. An answer stays until its caller has read it,
// so that the memory held grows with the number of callers, not with that of endpoints,
// until the process ends for want of it. So new requests are refused beyond the bound;
// answers that are ready are delivered all the same, and may exceed it.
type MemoryBudget struct {
	byCustomer map[string]int64
	bound      int64 // 0 if nothing is bounded
	total      int64
}

// NewMemoryBudget returns a MemoryBudget that takes no new work once bound bytes are held; 0 bounds
// nothing.
func NewMemoryBudget(bound int64) MemoryBudget { return MemoryBudget{bound: bound} }

// SetBound changes the bound. What is held stays.
func (he *MemoryBudget) SetBound(bound int64) { he.bound = bound }

// Bound returns how many bytes may be held, 0 if nothing is bounded.
func (he *MemoryBudget) Bound() int64 { return he.bound }

// Fits reports whether bytes more of a customer's body may be taken. Taken are those of the
// body that are held already: the answer is as if all of it came at one time.
//
// This is a dynamic threshold: with this body, a customer may hold as much as is free without
// it. That is about half of the bound for one alone and less for each of several, with no
// parts to configure. A customer that holds nothing beside this body may take all that is
// free, so that whatever fits an idle sender is taken in the end.
func (he *MemoryBudget) Fits(customer string, taken, bytes int64) bool {
	if he.bound <= 0 || he.total+bytes <= 0 {
		return true
	}
	size, free, beside := taken+bytes, he.bound-he.total+taken, he.byCustomer[customer]-taken
	if size > free {
		return false
	}
	return beside <= 0 || customer == "" || beside+size <= free
}

// TooLarge reports whether a body of this size fits at no time.
func (he *MemoryBudget) TooLarge(size int64) bool { return he.bound > 0 && size > he.bound }

// ReservesWhole reports whether a body of this size, larger than half of the bound, is to be taken
// whole before it is read. Read side by side, two such bodies would both be refused midway,
// each for what had been read of the other, and so again when their callers come back.
func (he *MemoryBudget) ReservesWhole(size int64) bool { return he.bound > 0 && size > he.bound/2 }

// Add counts bytes that are held for a customer. A negative number ends what was counted.
func (he *MemoryBudget) Add(customer string, bytes int64) {
	he.total += bytes
	if he.byCustomer == nil {
		he.byCustomer = map[string]int64{}
	}
	he.byCustomer[customer] += bytes
	if he.byCustomer[customer] <= 0 {
		delete(he.byCustomer, customer)
	}
}

// Total returns how many bytes are held.
func (he *MemoryBudget) Total() int64 { return he.total }

// Largest returns the customer for which most bytes are held, and how many: of several the
// first by name.
func (he *MemoryBudget) Largest() (customer string, bytes int64) {
	for name, held := range he.byCustomer {
		if held > bytes || held == bytes && name < customer {
			customer, bytes = name, held
		}
	}
	return customer, bytes
}
