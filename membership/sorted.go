package membership

import "slices"

// A sorted is a map that is walked by key, so that decisions do not depend on
// the order of a Go map. The zero sorted is empty and ready to use.
type sorted[V any] struct {
	byKey map[string]V
	keys  []string
}

// get returns the value of a key, and whether there is one.
func (so *sorted[V]) get(key string) (V, bool) {
	value, ok := so.byKey[key]
	return value, ok
}

// set adds or replaces the value of a key.
func (so *sorted[V]) set(key string, value V) {
	if so.byKey == nil {
		so.byKey = map[string]V{}
	}
	if _, ok := so.byKey[key]; !ok {
		at, _ := slices.BinarySearch(so.keys, key)
		so.keys = slices.Insert(so.keys, at, key)
	}
	so.byKey[key] = value
}

// remove drops a key, if it is there.
func (so *sorted[V]) remove(key string) {
	if _, ok := so.byKey[key]; !ok {
		return
	}
	delete(so.byKey, key)
	at, _ := slices.BinarySearch(so.keys, key)
	so.keys = slices.Delete(so.keys, at, at+1)
}

// values returns the values by key. They may be removed while it is walked.
func (so *sorted[V]) values() []V {
	values := make([]V, len(so.keys))
	for i, key := range so.keys {
		values[i] = so.byKey[key]
	}
	return values
}
