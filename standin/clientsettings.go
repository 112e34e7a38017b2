package standin

import (
	"fmt"
	"time"

	"wisteriacroft/unit"
)

// A ClientsSettings is the settings file of `stand-in trainer`.
type ClientsSettings struct {
	Callers   []CallerSettings  `toml:"caller"`
	Endpoints []string          `toml:"endpoints"` // base URLs of endpoints' stand-ins, to compare with their counts
	Entries   []string          `toml:"entries"`   // IP:port
	Platform  string            `toml:"platform"`  // base URL of the weight store; "": no weights are published
	Trainers  []TrainerSettings `toml:"trainer"`
}

// A TrainerSettings configures a trainer.
type TrainerSettings struct {
	Follows        bool          `toml:"follows"` // trains the newest version of the model and publishes none
	Groups         int           `toml:"groups"`  // in a step
	MaxTokens      int           `toml:"max-tokens"`
	Members        int           `toml:"members"` // of a group
	Model          string        `toml:"model"`   // whose weights it publishes
	Name           string        `toml:"name"`
	Profile        string        `toml:"profile"`
	Record         string        `toml:"record"` // file of JSON lines; "": none
	Scorer         string        `toml:"scorer"` // plain service that scores samples; "": a function
	Seed           int           `toml:"seed"`   // of the prompts
	StalenessBound int           `toml:"staleness-bound"`
	Steps          int           `toml:"steps"`
	StepsAhead     int           `toml:"steps-ahead"` // submitted before the step that it trains on
	TrainTime      unit.Duration `toml:"train-time"`  // of a step
}

// A CallerSettings configures a live caller.
type CallerSettings struct {
	Deadline      unit.Duration `toml:"deadline"`
	For           unit.Duration `toml:"for"`        // 0: until the trainers are done
	MaxTokens     int           `toml:"max-tokens"` // above 0: the service is an engine
	Name          string        `toml:"name"`
	NotRepeatable int           `toml:"not-repeatable"` // percent of the calls
	Profile       string        `toml:"profile"`
	Rate          int           `toml:"rate"`    // calls a second
	Repeats       int           `toml:"repeats"` // with the same key, when a call's outcome is unknown
	Service       string        `toml:"service"`
}

// ReadClientsSettings reads a settings file.
func ReadClientsSettings(file string, data []byte) (ClientsSettings, error) {
	return readSettings(file, data, ClientsSettings{}, func(se ClientsSettings, ch checker) {
		if len(se.Entries) == 0 {
			ch.Add("entries", "is missing")
		}
		for _, entry := range se.Entries {
			ch.address("entries", entry)
		}
		for i, tr := range se.Trainers {
			tr.check(fmt.Sprintf("trainer[%d].", i), ch)
		}
		for i, ca := range se.Callers {
			ca.check(fmt.Sprintf("caller[%d].", i), ch)
		}
	})
}

func (se TrainerSettings) check(prefix string, ch checker) {
	ch.notEmpty(prefix+"name", se.Name)
	ch.notEmpty(prefix+"profile", se.Profile)
	ch.atLeast(prefix+"groups", se.Groups, 1)
	ch.atLeast(prefix+"max-tokens", se.MaxTokens, 1)
	ch.atLeast(prefix+"members", se.Members, 1)
	ch.atLeast(prefix+"seed", se.Seed, 0)
	ch.atLeast(prefix+"staleness-bound", se.StalenessBound, 0)
	ch.atLeast(prefix+"steps", se.Steps, 1)
	ch.atLeast(prefix+"steps-ahead", se.StepsAhead, 0)
	ch.notNegative(prefix+"train-time", se.TrainTime)
}

func (se CallerSettings) check(prefix string, ch checker) {
	ch.notEmpty(prefix+"name", se.Name)
	ch.notEmpty(prefix+"service", se.Service)
	ch.atLeast(prefix+"max-tokens", se.MaxTokens, 0)
	ch.atLeast(prefix+"rate", se.Rate, 1)
	ch.atLeast(prefix+"repeats", se.Repeats, 0)
	ch.notNegative(prefix+"deadline", se.Deadline)
	ch.notNegative(prefix+"for", se.For)
	if se.NotRepeatable < 0 || se.NotRepeatable > 100 {
		ch.Add(prefix+"not-repeatable", "is %d; write a percentage", se.NotRepeatable)
	}
}

// deadline returns the time limit of a call.
func (se CallerSettings) deadline() time.Duration {
	if se.Deadline == 0 {
		return 5 * time.Second
	}
	return time.Duration(se.Deadline)
}
