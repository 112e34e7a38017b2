package forward

import (
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// maxAnswerSize is the maximum size of a response that isn't a stream, in bytes.
	maxAnswerSize = 32 << 20
	// freeAnswerSize is the size up to which a response is read even if there is no memory for it: its request
	// has run. In bytes.
	freeAnswerSize = 64 << 10
)

// A countedAnswer is the body of a response that counts its bytes in a memory while it is read.
//
// Otherwise endpoints that send without end would fill the process's memory.
type countedAnswer struct {
	io.Reader
	memory  *memory
	request *request
	taken   int64 // bytes counted in memory
}

// readAnswer reads the body of a response. Its bytes are counted only meanwhile.
func readAnswer(body io.Reader, rq *request, me *memory) ([]byte, error) {
	ca := &countedAnswer{Reader: body, memory: me, request: rq}
	defer func() { me.add(rq.customer, -ca.taken) }()
	return io.ReadAll(ca)
}

// Read implements io.Reader. It returns errIncomplete once there is no memory for the response.
func (ca *countedAnswer) Read(buf []byte) (int, error) {
	n, err := ca.Reader.Read(buf)
	if !ca.memory.addAnswer(ca.request, ca.taken, int64(n)) {
		return 0, errors.Wrapf(errIncomplete, "no memory for a response of more than %d bytes", ca.taken)
	}
	ca.taken += int64(n)
	return n, err
}
