package message

import "wisteriacroft/engine"

// Paths of an entry's HTTP server.
const (
	BatchPath   = "/v1/trainers/{trainer}/batches/{batch}"     // GET: lines of Payload
	EnginePath  = "/v1/services/{service}/generate"            // POST engine.GenerateRequest: the complete response
	PullPath    = "/v1/trainers/{trainer}/pull"                // POST PullRequest: PullResponse
	ServicePath = "/v1/services/{service}/call/{path:.*}"      // any method: a plain service
	StepPath    = "/v1/trainers/{trainer}/steps/{step:[0-9]+}" // PUT StepRequest: StepResponse
	StreamsPath = "/v1/services/{service}/stream"              // POST engine.GenerateRequest: lines of engine.Chunk
)

// A StepRequest requests the samples of a step. It is idempotent by trainer and step: an
// equal request is accepted again, a different one is refused.
type StepRequest struct {
	Groups  []Group `json:"groups"`
	Profile string  `json:"profile"`
}

// A Group is a prompt and the number of samples requested for it.
type Group struct {
	MaxTokens int    `json:"max-tokens"`
	Members   int    `json:"members"`
	Prompt    string `json:"prompt"`
}

// A StepResponse confirms that a step is accepted.
type StepResponse struct {
	Samples int `json:"samples"`
	Step    int `json:"step"`
}

// A Cursor is a trainer's position. It is authoritative for which batches were delivered.
type Cursor struct {
	Batch       string         `json:"batch"`  // ID of the last batch received completely, or ""
	Digest      string         `json:"digest"` // of that batch
	Incarnation uint64         `json:"incarnation"`
	Step        int            `json:"step"`    // step of that batch, or -1 before the first
	Version     engine.Version `json:"version"` // weights that the trainer currently trains
}

// A PullRequest acknowledges the cursor's batch and requests the next one.
type PullRequest struct {
	Cursor Cursor `json:"cursor"`
	Wait   string `json:"wait"` // maximum time to wait for a batch, as a Go duration
}

// A PullResponse describes the next batch. Batch is "" if none was ready in time.
type PullResponse struct {
	Batch      string        `json:"batch"`
	Digest     string        `json:"digest"`
	Manifest   []SampleEntry `json:"manifest"`
	RetryAfter string        `json:"retry-after,omitempty"`
	Step       int           `json:"step"`
	Whole      bool          `json:"whole"` // the last batch of its step
}

// A SampleEntry is the entry of a sample in a batch's manifest.
type SampleEntry struct {
	Digest   string           `json:"digest"`
	Group    int              `json:"group"`
	Member   int              `json:"member"`
	Places   []BlobLocation   `json:"places"`
	Segments []engine.Segment `json:"segments"`
	Size     int              `json:"size"`
}
