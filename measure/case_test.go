package measure

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"wisteriacroft/document"
	"wisteriacroft/finding"
	"wisteriacroft/unit"
)

// A Case is a workload to measure policies under, declared in a TOML file.
type Case struct {
	Name string `toml:"-"` // of its file, without ".toml"

	Duration       unit.Duration `toml:"duration"`
	FailureDomains []string      `toml:"failure-domains"` // assigned to the engines in turn
	Service        string        `toml:"service"`

	Engines  EngineRow    `toml:"engines"`
	Faults   []FaultRow   `toml:"faults"`
	Lengths  LengthRow    `toml:"lengths"`
	Live     LiveRow      `toml:"live"`
	Samples  SampleRow    `toml:"samples"`
	Trainers []TrainerRow `toml:"trainers"`
}

// An EngineRow configures the engines, which are identical.
type EngineRow struct {
	CachePrefixes  int           `toml:"cache-prefixes"` // capacity of the prefix cache, in prompts
	Count          int           `toml:"count"`
	LoadTime       unit.Duration `toml:"load-time"` // of a version; the engine generates nothing meanwhile
	MaxRunning     int           `toml:"max-running"`
	PrefillPerStep int           `toml:"prefill-per-step"` // tokens
	ReportLag      unit.Duration `toml:"report-lag"`
	ServingFloor   float64       `toml:"serving-floor"` // fraction of the engines that must serve while others load
	StepGrowth     float64       `toml:"step-growth"`   // relative growth of the step time for each further running request
	StepTime       unit.Duration `toml:"step-time"`
	TokensPerStep  int           `toml:"tokens-per-step"` // for each running request
}

// A FaultRow configures a fault.
type FaultRow struct {
	At     unit.Duration `toml:"at"`
	Engine int           `toml:"engine"` // index
	Kind   FaultKind     `toml:"kind"`
	Lasts  unit.Duration `toml:"lasts"`
}

// A FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	EngineCrash    FaultKind = "engine-crash"     // loses all requests, then restarts
	EngineStall    FaultKind = "engine-stall"     // keeps its requests, generates nothing
	KeyValueOutage FaultKind = "key-value-outage" // each call fails
)

// A LengthRow configures the lengths of samples: log-normal over groups and over
// the members of a group, with stragglers.
type LengthRow struct {
	GroupSpread     float64 `toml:"group-spread"` // standard deviation of the logarithm
	MaxTokens       int     `toml:"max-tokens"`
	Median          float64 `toml:"median"` // tokens
	MemberSpread    float64 `toml:"member-spread"`
	PromptSize      int     `toml:"prompt-size"` // tokens
	StragglerFactor float64 `toml:"straggler-factor"`
	StragglerPart   float64 `toml:"straggler-part"`
}

// A LiveRow configures the live calls to the engines.
type LiveRow struct {
	Deadline   unit.Duration `toml:"deadline"`
	PromptSize int           `toml:"prompt-size"` // tokens
	Rate       float64       `toml:"rate"`        // calls a second
	Tokens     int           `toml:"tokens"`      // mean
}

// A SampleRow is the profile of the samples.
type SampleRow struct {
	FreshnessWeight float64 `toml:"freshness-weight"`
	StalenessBound  int     `toml:"staleness-bound"`
	WholeSteps      bool    `toml:"whole-steps"`
}

// A TrainerRow configures a trainer.
type TrainerRow struct {
	Groups     int           `toml:"groups"`
	Members    int           `toml:"members"`
	Name       string        `toml:"name"`
	Publishes  bool          `toml:"publishes"` // new weights after each step
	Share      float64       `toml:"share"`
	StepsAhead int           `toml:"steps-ahead"` // submitted before they can be pulled
	TrainTime  unit.Duration `toml:"train-time"`  // of a whole step
}

// ReadCase reads and validates a case.
func ReadCase(path string) (Case, error) {
	var li finding.List
	data, err := os.ReadFile(path)
	if err != nil {
		return Case{}, err
	}
	var ca Case
	do := document.Read(filepath.Base(path), data, &ca, &li)
	ca.Name = strings.TrimSuffix(filepath.Base(path), ".toml")
	ca.check(do)
	return ca, li.Err()
}

// check adds a finding for each invalid value.
func (ca *Case) check(do *document.Document) {
	atLeast := func(key string, value, least float64) {
		if value < least {
			do.Add(key, "must be at least %g", least)
		}
	}
	longEnough := func(key string, du unit.Duration) {
		if time.Duration(du) < Tick {
			do.Add(key, "must be at least %s", Tick)
		}
	}
	longEnough("duration", ca.Duration)
	atLeast("failure-domains", float64(len(ca.FailureDomains)), 1)
	atLeast("engines.count", float64(ca.Engines.Count), 1)
	atLeast("engines.max-running", float64(ca.Engines.MaxRunning), 1)
	atLeast("engines.prefill-per-step", float64(ca.Engines.PrefillPerStep), 1)
	longEnough("engines.step-time", ca.Engines.StepTime)
	atLeast("engines.tokens-per-step", float64(ca.Engines.TokensPerStep), 1)
	atLeast("lengths.max-tokens", float64(ca.Lengths.MaxTokens), 1)
	atLeast("lengths.median", ca.Lengths.Median, 1)
	atLeast("trainers", float64(len(ca.Trainers)), 1)
	for i, tr := range ca.Trainers {
		atLeast(fmt.Sprintf("trainers[%d].groups", i), float64(tr.Groups), 1)
		atLeast(fmt.Sprintf("trainers[%d].members", i), float64(tr.Members), 1)
		longEnough(fmt.Sprintf("trainers[%d].train-time", i), tr.TrainTime)
	}
	for i, fa := range ca.Faults {
		if fa.Kind != EngineCrash && fa.Kind != EngineStall && fa.Kind != KeyValueOutage {
			do.Add(fmt.Sprintf("faults[%d].kind", i), "%q is no kind of fault", fa.Kind)
		}
		if fa.Engine < 0 || fa.Engine >= ca.Engines.Count {
			do.Add(fmt.Sprintf("faults[%d].engine", i), "engine %d of %d", fa.Engine, ca.Engines.Count)
		}
	}
}
