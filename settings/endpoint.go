package settings

import "fmt"

// A Kind is what an endpoint serves.
type Kind string

// The kinds of endpoints.
const (
	EngineKind Kind = "engine"
	PlainKind  Kind = "plain"
)

// An Endpoint is one server that an attendant serves.
type Endpoint struct {
	address string
	kind    Kind
	name    string
	service string
}

// Address returns the endpoint's base URL, without a trailing slash.
func (en Endpoint) Address() string { return en.address }

// Kind returns what the endpoint serves.
func (en Endpoint) Kind() Kind { return en.kind }

// Name returns the endpoint's name, unique among all endpoints.
func (en Endpoint) Name() string { return en.name }

// Service returns the name of the service to which the endpoint belongs.
func (en Endpoint) Service() string { return en.service }

// endpoints checks the endpoints for duplicates and converts them.
func (re *reader) endpoints(ras []rawEndpoint) []Endpoint {
	if len(ras) == 0 && !re.do.Faulty(endpointTable) {
		re.do.Add(endpointTable, "is missing: an attendant needs at least one endpoint")
	}
	names := map[string]int{}
	addresses := map[string]int{}
	endpoints := make([]Endpoint, len(ras))
	for i, ra := range ras {
		re.requireUnique(names, ra.Name.text, i, "name")
		re.requireUnique(addresses, ra.Address.text, i, "address")
		endpoints[i] = Endpoint{
			address: ra.Address.text,
			kind:    ra.Kind.value,
			name:    ra.Name.text,
			service: ra.Service.text,
		}
	}
	return endpoints
}

// requireUnique reports a value that an earlier endpoint already has.
func (re *reader) requireUnique(seen map[string]int, value string, element int, key string) {
	if value == "" {
		return
	}
	if first, ok := seen[value]; ok {
		re.do.Add(fmt.Sprintf("%s[%d].%s", endpointTable, element, key),
			"is %q, the same as that of %s[%d]", value, endpointTable, first)
		return
	}
	seen[value] = element
}
