package membership

import "slices"

// A sortedMap is a map with deterministic iteration in the order of its keys. The zero value is
// empty and ready to use.
type sortedMap[V any] struct {
	byKey map[string]V
	keys  []string
}

// get returns the value of a key and whether it exists.
func (so *sortedMap[V]) get(key string) (V, bool) {
	value, ok := so.byKey[key]
	return value, ok
}

// set adds or replaces the value of a key.
func (so *sortedMap[V]) set(key string, value V) {
	if so.byKey == nil {
		so.byKey = map[string]V{}
	}
	if _, ok := so.byKey[key]; !ok {
		at, _ := slices.BinarySearch(so.keys, key)
		so.keys = slices.Insert(so.keys, at, key)
	}
	so.byKey[key] = value
}

// remove removes a key if it exists.
func (so *sortedMap[V]) remove(key string) {
	if _, ok := so.byKey[key]; !ok {
		return
	}
	delete(so.byKey, key)
	at, _ := slices.BinarySearch(so.keys, key)
	so.keys = slices.Delete(so.keys, at, at+1)
}

// values returns a copy of the values in the order of their keys.
func (so *sortedMap[V]) values() []V {
	values := make([]V, len(so.keys))
	for i, key := range so.keys {
		values[i] = so.byKey[key]
	}
	return values
}
