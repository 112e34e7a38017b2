package peer

import (
	"context"

	"wisteriacroft/message"
)

// An Encoded is a response that is encoded already, so that many callers can be sent the same one.
// Sending it must not cost more than copying its bytes.
type Encoded[Resp any] struct{ payload []byte }

// EncodeResponse encodes a response for HandleEncoded.
func EncodeResponse[Resp any](resp Resp) (Encoded[Resp], error) {
	payload, err := encodePayload(resp)
	return Encoded[Resp]{payload: payload}, err
}

// Size returns the size of the encoded response, in bytes.
func (en Encoded[Resp]) Size() int { return len(en.payload) }

// HandleEncoded is Handle for a method whose handler encodes its responses itself.
func HandleEncoded[Req, Resp any](
	sv *Server, method string, fn func(ctx context.Context, he message.Header, req Req) (Encoded[Resp], error),
) {
	register(sv, method, func(ctx context.Context, he message.Header, req Req) ([]byte, error) {
		resp, err := fn(ctx, he, req)
		return resp.payload, err
	})
}
