package attendant_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"wisteriacroft/engine"
	"wisteriacroft/plainservice"
)

// A fakeEngine generates one token per step.
type fakeEngine struct {
	mu       sync.Mutex
	breakAt  int // number of tokens after which the connection breaks, once
	canceled []string
	fail     error // error of further requests
	orderErr error
	orders   []engine.Order
	alter    func(ch *engine.Chunk) // changes chunks in transit
	stallAt  int                    // number of tokens after which the stream stalls
	version  engine.Version
}

const step = 100 * time.Millisecond

func (fe *fakeEngine) client() *engine.Client {
	return &engine.Client{
		CancelFunc: func(_ context.Context, id string) error {
			fe.mu.Lock()
			defer fe.mu.Unlock()
			fe.canceled = append(fe.canceled, id)
			return nil
		},
		GenerateFunc: fe.generate,
		OrderFunc: func(_ context.Context, or engine.Order) error {
			fe.mu.Lock()
			defer fe.mu.Unlock()
			fe.orders = append(fe.orders, or)
			return fe.orderErr
		},
		ReportFunc: func(context.Context) (engine.Report, error) {
			return engine.Report{At: time.Now(), Model: "marker", Version: fe.weights()}, nil
		},
	}
}

func (fe *fakeEngine) weights() engine.Version {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	return fe.version
}

// canceledIDs returns the ids of canceled requests.
func (fe *fakeEngine) canceledIDs() []string {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	return slices.Clone(fe.canceled)
}

func (fe *fakeEngine) load(ve engine.Version) {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	fe.version = ve
}

// token returns the expected token at a position.
func token(prompt string, position int) engine.Token {
	return engine.Token{ID: int32(len(prompt)*1000 + position)}
}

func (fe *fakeEngine) generate(ctx context.Context, req engine.GenerateRequest, emit func(engine.Chunk) error) error {
	if fe.fail != nil {
		return fe.fail
	}
	for i := len(req.Resume); i < req.MaxTokens; i++ {
		if fe.stallAt > 0 && i >= fe.stallAt {
			<-ctx.Done()
		}
		select {
		case <-ctx.Done():
			return engine.ErrBroken
		case <-time.After(step):
		}
		if fe.breakAt > 0 && i >= fe.breakAt {
			fe.breakAt = 0
			return engine.ErrBroken
		}
		ch := engine.Chunk{
			Done:      i == req.MaxTokens-1,
			First:     i,
			RequestID: req.ID,
			Tokens:    []engine.Token{token(req.Prompt, i)},
			Version:   fe.weights(),
		}
		if fe.alter != nil {
			fe.alter(&ch)
		}
		if err := emit(ch); err != nil {
			return err
		}
	}
	return nil
}

// A fakeService answers after a delay and records the requests that it runs.
type fakeService struct {
	mu      sync.Mutex
	fail    error
	ran     []string
	running int
	silent  bool // runs requests but never answers
	takes   time.Duration
}

// failWith sets the error of further calls; nil lets them succeed.
func (fs *fakeService) failWith(err error) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.fail = err
}

func (fs *fakeService) setSilent(silent bool) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.silent = silent
}

// ranIDs returns the ids of the requests that ran.
func (fs *fakeService) ranIDs() []string {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return slices.Clone(fs.ran)
}

func (fs *fakeService) client() *plainservice.Client {
	return &plainservice.Client{
		CallFunc: func(ctx context.Context, req plainservice.Request) (plainservice.Response, error) {
			fs.mu.Lock()
			if err := fs.fail; err != nil {
				fs.mu.Unlock()
				return plainservice.Response{}, err
			}
			fs.ran = append(fs.ran, req.ID)
			body := fmt.Sprintf("answer %d to %s", len(fs.ran), req.Body)
			fs.running++
			fs.mu.Unlock()
			select {
			case <-time.After(fs.takes):
			case <-ctx.Done():
			}
			fs.mu.Lock()
			fs.running--
			silent := fs.silent
			fs.mu.Unlock()
			if silent {
				<-ctx.Done()
			}
			if ctx.Err() != nil {
				return plainservice.Response{}, plainservice.ErrBroken
			}
			return plainservice.Response{
				Body:   io.NopCloser(strings.NewReader(body)),
				Header: http.Header{"Content-Type": {"text/plain"}},
				Status: http.StatusCreated,
			}, nil
		},
		ReportFunc: func(context.Context) (plainservice.Report, error) {
			fs.mu.Lock()
			defer fs.mu.Unlock()
			return plainservice.Report{Running: fs.running}, nil
		},
	}
}
