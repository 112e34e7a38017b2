package directory

import (
	"fmt"
	"testing"
)

// manyEndpoints returns a directory of 3,000 endpoints, every sixth of them a desk.
func manyEndpoints() *Directory {
	di := &Directory{}
	di.SetConfiguration(&Configuration{Services: []Service{{Name: "desk"}, {Name: "engine"}}, Version: 1})
	for i := range 3000 {
		en := Endpoint{
			Address: fmt.Sprintf("10.%d.%d.%d:80", i/65536, i/256%256, i%256), Domain: "a", ID: fmt.Sprintf("endpoint-%04d", i), Service: "engine", Slots: 8,
		}
		if i%6 == 0 {
			en.Service = "desk"
		}
		di.SetEndpoint(en)
	}
	return di
}

// BenchmarkEndpoints measures the lookup that live requests and reward calls make.
func BenchmarkEndpoints(b *testing.B) {
	di := manyEndpoints()
	b.ReportAllocs()
	for b.Loop() {
		if len(di.Endpoints("desk")) != 500 {
			b.Fatal("endpoints are missing")
		}
	}
}

// BenchmarkSetEndpoint measures a change of an endpoint's entry.
func BenchmarkSetEndpoint(b *testing.B) {
	di := manyEndpoints()
	en, _ := di.Endpoint("endpoint-1500")
	b.ReportAllocs()
	for b.Loop() {
		di.SetEndpoint(en)
	}
}
