package fairshare

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMaxMinShares(t *testing.T) {
	for name, tc := range map[string]struct {
		whole                float64
		wants, weights, want map[string]float64
	}{
		"enough for all":    {whole: 10, wants: map[string]float64{"a": 3, "b": 4}, want: map[string]float64{"a": 3, "b": 4}},
		"one at ten times":  {whole: 10, wants: map[string]float64{"a": 50, "b": 4}, want: map[string]float64{"a": 6, "b": 4}},
		"all want too much": {whole: 9, wants: map[string]float64{"a": 50, "b": 40, "c": 30}, want: map[string]float64{"a": 3, "b": 3, "c": 3}},
		"weights": {
			whole: 9, wants: map[string]float64{"a": 50, "b": 40}, weights: map[string]float64{"a": 0.5},
			want: map[string]float64{"a": 3, "b": 6},
		},
		"nothing": {},
	} {
		t.Run(name, func(t *testing.T) {
			got := MaxMinShares(tc.whole, tc.wants, tc.weights)
			assert.Equal(t, len(got), len(tc.wants))
			for customer, part := range tc.want {
				assert.Assert(t, got[customer] > part-1e-9 && got[customer] < part+1e-9, "%s: %f", customer, got[customer])
			}
		})
	}
}

// For random wants, MaxMinShares never gives more than the whole or the wants, leaves nothing that
// is wanted, and gives each customer at least the lesser of its share and its wants.
func TestMaxMinSharesProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		whole := rapid.Float64Range(0, 100).Draw(rt, "whole")
		wants, weights := map[string]float64{}, map[string]float64{}
		sumWeights, sumWants, given := 0.0, 0.0, 0.0
		for _, customer := range []string{"a", "b", "c", "d"} {
			wants[customer] = rapid.Float64Range(0, 60).Draw(rt, "wants")
			weights[customer] = rapid.Float64Range(0.1, 4).Draw(rt, "weight")
			sumWants += wants[customer]
			sumWeights += weights[customer]
		}
		const slack = 1e-9
		for customer, part := range MaxMinShares(whole, wants, weights) {
			given += part
			if part > wants[customer]+slack || part < min(wants[customer], whole*weights[customer]/sumWeights)-slack {
				rt.Fatalf("%s wants %f and has %f", customer, wants[customer], part)
			}
		}
		if given > whole+slack || given < min(whole, sumWants)-slack {
			rt.Fatalf("%f given of %f, %f wanted", given, whole, sumWants)
		}
	})
}
