package message

import (
	"wisteriacroft/engine"
	"wisteriacroft/outcome"
)

// A SampleRequest asks an attendant for one attempt at a slot of a step.
type SampleRequest struct {
	Attempt     string         `json:"attempt"` // unique; names the request to the engine
	Deadline    string         `json:"deadline"`
	Group       int            `json:"group"`
	MaxTokens   int            `json:"max-tokens"`
	Member      int            `json:"member"`
	MinVersion  uint64         `json:"min-version"` // older weights would be stale: refuse with not-run
	Profile     string         `json:"profile"`
	Prompt      string         `json:"prompt"`
	ResumeFrom  *ResumeFrom    `json:"resume-from,omitempty"`
	Revision    uint64         `json:"revision"`
	Seed        uint64         `json:"seed"`
	Step        int            `json:"step"`
	StorePlaces []BlobLocation `json:"store-places"` // data folders to write to, best first; two in different failure domains are used
	Trainer     string         `json:"trainer"`
}

// A ResumeFrom names the attendant that holds the tokens made so far.
type ResumeFrom struct {
	Address string `json:"address"`
	Attempt string `json:"attempt"`
}

// A BlobLocation is a data folder that takes payloads.
type BlobLocation struct {
	Address       string `json:"address"` // IP:port of the process that serves it
	FailureDomain string `json:"failure-domain"`
	Instance      string `json:"instance"`
}

// A SampleEvent is one line of the answer: progress, the result, or a refusal.
type SampleEvent struct {
	Attempt  string           `json:"attempt"` // echo, checked by the entry
	Progress int              `json:"progress,omitempty"`
	Refusal  *outcome.Refusal `json:"refusal,omitempty"`
	Result   *SampleResult    `json:"result,omitempty"`
	Version  engine.Version   `json:"version,omitempty"`
}

// A SampleResult is a whole sample, its payload already in its places.
type SampleResult struct {
	Digest   string           `json:"digest"` // of the payload
	Endpoint string           `json:"endpoint"`
	Places   []BlobLocation   `json:"places"`
	Segments []engine.Segment `json:"segments"`
	Size     int              `json:"size"` // of the payload, in bytes
	Tokens   int              `json:"tokens"`
}

// A Payload is what a data folder keeps of a sample and what the trainer gets.
type Payload struct {
	Group    int              `json:"group"`
	Member   int              `json:"member"`
	Prompt   string           `json:"prompt"`
	Segments []engine.Segment `json:"segments"`
	Step     int              `json:"step"`
	Tokens   []engine.Token   `json:"tokens"`
	Trainer  string           `json:"trainer"`
}
