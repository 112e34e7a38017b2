package profile

// A Source is the origin of the document in a Replica.
type Source string

// The sources of a document.
const (
	FromNone    Source = "none"
	FromPeer    Source = "peer"
	FromService Source = "service"
)
