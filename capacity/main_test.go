package capacity

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"testing"

	"wisteriacroft/message"
	"wisteriacroft/peer"
)

// TestMain makes the codecs of package peer before any test does: they hold channels, which belong to
// the bubble in which they are made.
func TestMain(m *testing.M) {
	if err := makeCodecs(); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// makeCodecs makes a call whose request and response are compressed.
func makeCodecs() error {
	var (
		ne network
		sv peer.Server
	)
	peer.Handle(&sv, "echo", func(_ context.Context, _ message.Header, data []byte) ([]byte, error) { return data, nil })
	hs := &http.Server{Handler: &sv}
	li := ne.listen("codecs")
	go func() { _ = hs.Serve(li) }()
	defer hs.Close()
	po := &peer.Pool{DialFunc: ne.dial}
	defer po.Close()
	_, err := peer.Call[[]byte, []byte](context.Background(), po, "codecs", "echo", bytes.Repeat([]byte("codec"), 1000))
	return err
}
