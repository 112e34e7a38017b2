package message

import (
	"wisteriacroft/engine"
	"wisteriacroft/outcome"
)

// A SampleRequest starts one attempt at a slot of a step on an attendant.
type SampleRequest struct {
	Attempt     string         `json:"attempt"` // unique; the ID of the engine's request
	Deadline    string         `json:"deadline"`
	Group       int            `json:"group"`
	MaxTokens   int            `json:"max-tokens"`
	Member      int            `json:"member"`
	MinVersion  uint64         `json:"min-version"` // refused with not-run on older weights
	Profile     string         `json:"profile"`
	Prompt      string         `json:"prompt"`
	ResumeFrom  *ResumeFrom    `json:"resume-from,omitempty"`
	Revision    uint64         `json:"revision"`
	Seed        uint64         `json:"seed"`
	Step        int            `json:"step"`
	StorePlaces []BlobLocation `json:"store-places"` // candidate data folders, best first; two in different failure domains are used
	Trainer     string         `json:"trainer"`
}

// A ResumeFrom identifies the attendant and the attempt whose tokens are to be continued.
type ResumeFrom struct {
	Address string `json:"address"`
	Attempt string `json:"attempt"`
}

// A BlobLocation is a data folder that stores payloads.
type BlobLocation struct {
	Address       string `json:"address"` // IP:port of the process that serves it
	FailureDomain string `json:"failure-domain"`
	Instance      string `json:"instance"`
}

// A SampleEvent is one line of the response: progress, the result, or a refusal.
type SampleEvent struct {
	Attempt  string           `json:"attempt"` // echoed, and checked by the entry
	Progress int              `json:"progress,omitempty"`
	Refusal  *outcome.Refusal `json:"refusal,omitempty"`
	Result   *SampleResult    `json:"result,omitempty"`
	Version  engine.Version   `json:"version,omitempty"`
}

// A SampleResult is a complete sample whose payload is stored.
type SampleResult struct {
	Digest   string           `json:"digest"` // of the payload
	Endpoint string           `json:"endpoint"`
	Places   []BlobLocation   `json:"places"`
	Segments []engine.Segment `json:"segments"`
	Size     int              `json:"size"` // of the payload, in bytes
	Tokens   int              `json:"tokens"`
}

// A Payload is the content of a sample, as stored in data folders and sent to the trainer.
type Payload struct {
	Group    int              `json:"group"`
	Member   int              `json:"member"`
	Prompt   string           `json:"prompt"`
	Segments []engine.Segment `json:"segments"`
	Step     int              `json:"step"`
	Tokens   []engine.Token   `json:"tokens"`
	Trainer  string           `json:"trainer"`
}
