package hold

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Bounds of a sheet, which is read and written whole.
const (
	// maxRecords is how many holds may be in force at once.
	maxRecords = 200
	// maxChanges is how many changes the history keeps.
	maxChanges = 100
)

// ErrFull means that no more can be held.
var ErrFull = errors.New("too many holds are in force")

// An Action is what a change did.
type Action string

// The actions of changes.
const (
	Held     Action = "held"
	Released Action = "released"
)

// A Change is a line of the history: who held or released what, when and why.
type Change struct {
	Record
	Action Action `json:"action"`
	ID     string `json:"id"` // unique, so that a repeated write is known again
}

// A Set is all that is held, with its history. It is not changed once made; the nil
// Set holds nothing.
type Set struct {
	records map[Target]Record
	changes []Change // oldest first
	version int64    // of the key that it was read from
	// restores is how often the service has gone back behind a sheet that was in force,
	// as this process has seen it.
	restores int
}

// wireSheet is a sheet as the key-value service and other processes get it.
type wireSheet struct {
	Changes []Change
	Records []Record
	Version int64 `cbor:",omitempty"`
}

// Version returns the version of the key that the sheet was read from, 0 if none was.
func (sh *Set) Version() int64 {
	if sh == nil {
		return 0
	}
	return sh.version
}

// WithVersion returns the sheet as read from a version of its key.
func (sh *Set) WithVersion(version int64) *Set {
	if sh == nil {
		return &Set{version: version}
	}
	at := *sh
	at.version = version
	return &at
}

// Newer reports whether a sheet is to replace another: it is of a higher version, or the
// service was found to have gone back behind the other.
func (sh *Set) Newer(other *Set) bool {
	switch {
	case sh == nil || other == nil:
		return sh != nil
	case sh.restores != other.restores:
		return sh.restores > other.restores
	default:
		return sh.version > other.version
	}
}

// After returns the sheet as one that replaces another of a lower version.
func (sh *Set) After(other *Set) *Set {
	return sh.replacing(other, 0)
}

// AsRestored returns the sheet as one that replaces another of any version, as the service
// was restored from a copy that is older than that.
func (sh *Set) AsRestored(other *Set) *Set {
	return sh.replacing(other, 1)
}

func (sh *Set) replacing(other *Set, restores int) *Set {
	next := sh.WithVersion(sh.Version())
	if other != nil {
		next.restores = other.restores + restores
	}
	return next
}

// Find returns what is known of a hold, if it is in force.
func (sh *Set) Find(ta Target) (Record, bool) {
	if sh == nil {
		return Record{}, false
	}
	re, ok := sh.records[ta]
	return re, ok
}

// Customer returns the hold of a customer's new work, if there is one.
func (sh *Set) Customer(name string) (Record, bool) {
	return sh.Find(Target{Kind: Customer, Name: name})
}

// Step returns the hold of a step's new work, which may be its customer's.
func (sh *Set) Step(id, customer string) (Record, bool) {
	if re, ok := sh.Find(Target{Kind: Step, Name: id}); ok {
		return re, true
	}
	return sh.Customer(customer)
}

// Endpoint returns the hold by which an endpoint drains, if there is one.
func (sh *Set) Endpoint(id, address string) (Record, bool) {
	if re, ok := sh.Find(Target{Kind: Endpoint, Name: id}); ok {
		return re, true
	}
	return sh.Find(Target{Kind: Endpoint, Name: address})
}

// Service returns the hold of a service's orders for endpoints, if there is one.
func (sh *Set) Service(name string) (Record, bool) {
	return sh.Find(Target{Kind: Service, Name: name})
}

// Records returns what is held, by kind and name.
func (sh *Set) Records() []Record {
	res := []Record{}
	if sh == nil {
		return res
	}
	for _, re := range sh.records {
		res = append(res, re)
	}
	slices.SortFunc(res, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return res
}

// Changes returns the history, the oldest change first.
func (sh *Set) Changes() []Change {
	if sh == nil {
		return []Change{}
	}
	return append([]Change{}, sh.changes...)
}

// Count returns how much of a kind is held.
func (sh *Set) Count(ki Kind) int {
	count := 0
	for _, re := range sh.Records() {
		if re.Kind == ki {
			count++
		}
	}
	return count
}

// Apply returns the sheet after a change, and whether it is another one: what is held
// already isn't held twice, and what is not can't be released.
func (sh *Set) Apply(ch Change) (*Set, bool, error) {
	if err := ch.Check(); err != nil {
		return sh, false, err
	}
	_, held := sh.Find(ch.Target)
	switch {
	case held == (ch.Action == Held):
		return sh, false, nil
	case !held && sh != nil && len(sh.records) >= maxRecords:
		return sh, false, errors.WithHint(errors.Wrapf(ErrFull, "%d", maxRecords), "release what is no longer needed")
	}
	next := &Set{records: map[Target]Record{}, version: sh.Version()}
	for _, re := range sh.Records() {
		next.records[re.Target] = re
	}
	if held {
		delete(next.records, ch.Target)
	} else {
		next.records[ch.Target] = ch.Record
	}
	next.changes = append(sh.Changes(), ch)
	next.changes = next.changes[max(0, len(next.changes)-maxChanges):]
	return next, true, nil
}

// made reports whether the history holds a change.
func (sh *Set) made(id string) bool {
	return slices.ContainsFunc(sh.Changes(), func(ch Change) bool { return ch.ID == id })
}

// MarshalCBOR implements cbor.Marshaler.
func (sh *Set) MarshalCBOR() ([]byte, error) {
	return cbor.Marshal(wireSheet{Changes: sh.Changes(), Records: sh.Records(), Version: sh.Version()})
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (sh *Set) UnmarshalCBOR(data []byte) error {
	var ws wireSheet
	if err := cbor.Unmarshal(data, &ws); err != nil {
		return err
	}
	*sh = Set{changes: ws.Changes, records: map[Target]Record{}, version: ws.Version}
	for _, re := range ws.Records {
		sh.records[re.Target] = re
	}
	return nil
}
