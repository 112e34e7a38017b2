// Package tick runs systems at a fixed interval. All systems of a Loop run in order in one
// goroutine.
package tick

import (
	"context"
	"time"
)

// A System is a function that a Loop runs on each tick.
type System struct {
	Name string
	Run  func(now time.Time)
}

// A Loop runs its systems at the interval Every.
type Loop struct {
	Every   time.Duration
	Systems []System
}

// Step runs each system once with the time now.
func (lo *Loop) Step(now time.Time) {
	for _, sy := range lo.Systems {
		sy.Run(now)
	}
}

// Run steps at each interval until ctx ends. It skips missed intervals.
func (lo *Loop) Run(ctx context.Context) {
	ti := time.NewTicker(lo.Every)
	defer ti.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ti.C:
			lo.Step(time.Now())
		}
	}
}
