// Package bench measures the overhead of a live call through the system over a
// direct call of the same endpoint. It has benchmarks only: run them with
// go test -bench.
package bench
