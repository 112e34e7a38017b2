package directory

import "slices"

// minLoggedChanges is the number of changes that a changeLog keeps at least.
const minLoggedChanges = 64

// A changeLog holds the IDs of the endpoints that changed last, one in each generation. With it a
// process that knows an earlier generation is sent only what differs. The zero value is empty and
// ready to use.
type changeLog struct {
	ids   []string // ids[i] changed in generation start+i+1
	start uint64   // the generation before that of ids[0]
}

// generation returns the generation of the last change.
func (cl *changeLog) generation() uint64 { return cl.start + uint64(len(cl.ids)) }

// add records a change of an endpoint, one of count. More changes than endpoints are not kept: sending
// all endpoints is then no larger.
func (cl *changeLog) add(id string, count int) {
	cl.ids = append(cl.ids, id)
	limit := max(minLoggedChanges, count)
	if len(cl.ids) > 2*limit {
		dropped := len(cl.ids) - limit
		cl.ids = slices.Clone(cl.ids[dropped:])
		cl.start += uint64(dropped)
	}
}

// reset records that all endpoints may have changed.
func (cl *changeLog) reset() {
	cl.start = cl.generation() + 1
	cl.ids = nil
}

// covers reports whether all changes since a generation are known.
func (cl *changeLog) covers(generation uint64) bool {
	return generation >= cl.start && generation <= cl.generation()
}

// since returns the IDs of the endpoints that changed since a generation, sorted. It returns false if
// not all of them are known.
func (cl *changeLog) since(generation uint64) ([]string, bool) {
	if !cl.covers(generation) {
		return nil, false
	}
	ids := slices.Clone(cl.ids[generation-cl.start:])
	slices.Sort(ids)
	return slices.Compact(ids), true
}
