// Package measure measures the policies of batch, gate and route: its tests run
// these packages on declared cases, with fake engines and trainers, and compare
// the results with golden tables.
package measure
