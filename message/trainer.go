package message

import "wisteriacroft/engine"

// Paths of an entry's HTTP server.
const (
	BatchPath   = "/v1/trainers/{trainer}/batches/{batch}"     // GET: lines of Payload
	EnginePath  = "/v1/services/{service}/generate"            // POST engine.GenerateRequest: whole answer
	PullPath    = "/v1/trainers/{trainer}/pull"                // POST PullRequest: PullResponse
	ServicePath = "/v1/services/{service}/call/{path:.*}"      // any method: a plain service
	StepPath    = "/v1/trainers/{trainer}/steps/{step:[0-9]+}" // PUT StepRequest: StepResponse
	StreamsPath = "/v1/services/{service}/stream"              // POST engine.GenerateRequest: lines of engine.Chunk
)

// A StepRequest asks for the samples of a step. It is idempotent by trainer
// and step: the same request again is accepted again, another is refused.
type StepRequest struct {
	Groups  []Group `json:"groups"`
	Profile string  `json:"profile"`
}

// A Group is a prompt and how many samples of it are wanted.
type Group struct {
	MaxTokens int    `json:"max-tokens"`
	Members   int    `json:"members"`
	Prompt    string `json:"prompt"`
}

// A StepResponse says that a step is accepted.
type StepResponse struct {
	Samples int `json:"samples"`
	Step    int `json:"step"`
}

// A Cursor is what a trainer knows of its own position. Its word is the truth
// about what was delivered.
type Cursor struct {
	Batch       string         `json:"batch"`  // id of the last batch taken whole, or ""
	Digest      string         `json:"digest"` // of that batch
	Incarnation uint64         `json:"incarnation"`
	Step        int            `json:"step"`    // step of that batch, or -1 before the first
	Version     engine.Version `json:"version"` // weights that the trainer trains now
}

// A PullRequest acknowledges the batch that the cursor names and asks for the
// next one.
type PullRequest struct {
	Cursor Cursor `json:"cursor"`
	Wait   string `json:"wait"` // how long to wait for a batch, a Go duration
}

// A PullResponse names the next batch. Batch is "" when none was ready in time.
type PullResponse struct {
	Batch      string        `json:"batch"`
	Digest     string        `json:"digest"`
	Manifest   []SampleEntry `json:"manifest"`
	RetryAfter string        `json:"retry-after,omitempty"`
	Step       int           `json:"step"`
	Whole      bool          `json:"whole"` // the last batch of its step
}

// A SampleEntry is a sample's row in a batch's manifest.
type SampleEntry struct {
	Digest   string           `json:"digest"`
	Group    int              `json:"group"`
	Member   int              `json:"member"`
	Places   []BlobLocation   `json:"places"`
	Segments []engine.Segment `json:"segments"`
	Size     int              `json:"size"`
}
