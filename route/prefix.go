package route

import "container/list"

// prefixes is an LRU cache of the endpoint that last got a prefix, so that requests with the same
// prefix reach an endpoint that has it cached. The zero value is empty.
type prefixes struct {
	byKey map[prefixKey]*list.Element
	order list.List // of prefixEntry, most recently used first
}

// A prefixKey identifies a prefix of a service.
type prefixKey struct {
	prefix  string
	service string
}

// A prefixEntry is a prefix and the endpoint that got its last request.
type prefixEntry struct {
	endpoint string
	key      prefixKey
}

// get returns the endpoint of a prefix, or "".
func (pr *prefixes) get(key prefixKey) string {
	el := pr.byKey[key]
	if el == nil {
		return ""
	}
	pr.order.MoveToFront(el)
	return el.Value.(prefixEntry).endpoint
}

// set stores the endpoint of a prefix, and evicts the least recently used prefix if there are more
// than most.
func (pr *prefixes) set(key prefixKey, endpoint string, most int) {
	if pr.byKey == nil {
		pr.byKey = make(map[prefixKey]*list.Element)
	}
	en := prefixEntry{endpoint: endpoint, key: key}
	if el := pr.byKey[key]; el != nil {
		el.Value = en
		pr.order.MoveToFront(el)
		return
	}
	pr.byKey[key] = pr.order.PushFront(en)
	if pr.order.Len() > most {
		last := pr.order.Back()
		delete(pr.byKey, last.Value.(prefixEntry).key)
		pr.order.Remove(last)
	}
}
