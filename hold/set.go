package hold

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Bounds of a Set, which is read and written as a whole.
const (
	// maxRecords bounds the holds in force.
	maxRecords = 200
	// maxChanges bounds the history.
	maxChanges = 100
)

// ErrFull means that there are too many holds in force.
var ErrFull = errors.New("too many holds are in force")

// An Action is the effect of a change.
type Action string

// The actions of changes.
const (
	Held     Action = "held"
	Released Action = "released"
)

// A Change is an entry of the history: who held or released what, when and why.
type Change struct {
	Record
	Action Action `json:"action"`
	ID     string `json:"id"` // unique, to detect retries
}

// A Set is an immutable set of holds with its history. The nil Set is empty.
type Set struct {
	records map[Target]Record
	changes []Change // oldest first
	version int64    // of its key
	// restores counts the restores of the key-value service from an older backup that this
	// process has detected.
	restores int
}

// wireSet is the encoding of a Set in the key-value service and between processes.
type wireSet struct {
	Changes []Change
	Records []Record
	Version int64 `cbor:",omitempty"`
}

// Version returns the version of the key that the set was read from, or 0 if there was none.
func (se *Set) Version() int64 {
	if se == nil {
		return 0
	}
	return se.version
}

// WithVersion returns a copy with the given version.
func (se *Set) WithVersion(version int64) *Set {
	if se == nil {
		return &Set{version: version}
	}
	next := *se
	next.version = version
	return &next
}

// Newer reports whether the set replaces another: it has seen more restores, or with equal restores
// it has a higher version.
func (se *Set) Newer(other *Set) bool {
	switch {
	case se == nil || other == nil:
		return se != nil
	case se.restores != other.restores:
		return se.restores > other.restores
	default:
		return se.version > other.version
	}
}

// After returns the set as the successor of another with a lower version.
func (se *Set) After(other *Set) *Set {
	return se.withRestores(other, 0)
}

// AsRestored returns the set as the successor of another with any version, as the service was
// restored from an older backup.
func (se *Set) AsRestored(other *Set) *Set {
	return se.withRestores(other, 1)
}

func (se *Set) withRestores(other *Set, restores int) *Set {
	next := se.WithVersion(se.Version())
	if other != nil {
		next.restores = other.restores + restores
	}
	return next
}

// Find returns the hold of a target, if it is in force.
func (se *Set) Find(ta Target) (Record, bool) {
	if se == nil {
		return Record{}, false
	}
	re, ok := se.records[ta]
	return re, ok
}

// Customer returns the hold of a customer, if there is one.
func (se *Set) Customer(name string) (Record, bool) {
	return se.Find(Target{Kind: Customer, Name: name})
}

// Step returns the hold of a step or else of its customer, if there is one.
func (se *Set) Step(id, customer string) (Record, bool) {
	if re, ok := se.Find(Target{Kind: Step, Name: id}); ok {
		return re, true
	}
	return se.Customer(customer)
}

// Endpoint returns the hold of an endpoint by its ID or address, if there is one.
func (se *Set) Endpoint(id, address string) (Record, bool) {
	if re, ok := se.Find(Target{Kind: Endpoint, Name: id}); ok {
		return re, true
	}
	return se.Find(Target{Kind: Endpoint, Name: address})
}

// Service returns the hold of a service, if there is one.
func (se *Set) Service(name string) (Record, bool) {
	return se.Find(Target{Kind: Service, Name: name})
}

// Records returns the holds in force, ordered by kind and name.
func (se *Set) Records() []Record {
	res := []Record{}
	if se == nil {
		return res
	}
	for _, re := range se.records {
		res = append(res, re)
	}
	slices.SortFunc(res, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return res
}

// Changes returns the history, the oldest change first.
func (se *Set) Changes() []Change {
	if se == nil {
		return []Change{}
	}
	return append([]Change{}, se.changes...)
}

// Count returns the number of holds of a kind.
func (se *Set) Count(ki Kind) int {
	count := 0
	for _, re := range se.Records() {
		if re.Kind == ki {
			count++
		}
	}
	return count
}

// Apply returns the set after a change, and whether it differs: holding what is held and releasing
// what is not have no effect.
func (se *Set) Apply(ch Change) (*Set, bool, error) {
	if err := ch.Check(); err != nil {
		return se, false, err
	}
	_, held := se.Find(ch.Target)
	switch {
	case held == (ch.Action == Held):
		return se, false, nil
	case !held && se != nil && len(se.records) >= maxRecords:
		return se, false, errors.WithHint(errors.Wrapf(ErrFull, "%d", maxRecords), "release what is no longer needed")
	}
	next := &Set{records: map[Target]Record{}, version: se.Version()}
	for _, re := range se.Records() {
		next.records[re.Target] = re
	}
	if held {
		delete(next.records, ch.Target)
	} else {
		next.records[ch.Target] = ch.Record
	}
	next.changes = append(se.Changes(), ch)
	next.changes = next.changes[max(0, len(next.changes)-maxChanges):]
	return next, true, nil
}

// hasChange reports whether a change is in the history.
func (se *Set) hasChange(id string) bool {
	return slices.ContainsFunc(se.Changes(), func(ch Change) bool { return ch.ID == id })
}

// MarshalCBOR implements cbor.Marshaler.
func (se *Set) MarshalCBOR() ([]byte, error) {
	return cbor.Marshal(wireSet{Changes: se.Changes(), Records: se.Records(), Version: se.Version()})
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (se *Set) UnmarshalCBOR(data []byte) error {
	var ws wireSet
	if err := cbor.Unmarshal(data, &ws); err != nil {
		return err
	}
	*se = Set{changes: ws.Changes, records: map[Target]Record{}, version: ws.Version}
	for _, re := range ws.Records {
		se.records[re.Target] = re
	}
	return nil
}
