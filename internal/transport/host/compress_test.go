package host

import (
	"bytes"
	"compress/flate"
	"crypto/rand"
	"errors"
	"net/http"
	"testing"

	"github.com/coder/websocket"

	"celerypin.example/celerypin/internal/protocol/host"
)

// TestFramesAreSmallerAndWhole guards against messages that are changed by their
// compression, or that it makes larger.
func TestFramesAreSmallerAndWhole(t *testing.T) {
	random := make([]byte, 4000)
	_, _ = rand.Read(random)
	for name, data := range map[string][]byte{
		"empty": {}, "short": []byte("digest"), "random": random, "repeated": bytes.Repeat([]byte("account-1 "), 400),
	} {
		frame := pack(data)
		got, err := unpack(frame)
		if err != nil || !bytes.Equal(got, data) {
			t.Errorf("%s: got %d bytes, error %v, want the %d bytes that were packed", name, len(got), err, len(data))
		}
		if len(frame) > len(data)+1 {
			t.Errorf("%s: got a frame of %d bytes for %d, want at most one more", name, len(frame), len(data))
		}
		if name == "repeated" && len(frame) > len(data)/4 {
			t.Errorf("%s: got a frame of %d bytes for %d, want it compressed", name, len(frame), len(data))
		}
	}
}

// TestMalformedFramesAreRefused guards against a frame that takes up all memory or that is
// cut short.
func TestMalformedFramesAreRefused(t *testing.T) {
	var bomb bytes.Buffer
	bomb.WriteByte(frameCompressed)
	w, _ := flate.NewWriter(&bomb, flate.BestSpeed)
	_, _ = w.Write(make([]byte, 8*host.MaxMessageBytes))
	_ = w.Close()
	for name, frame := range map[string][]byte{
		"empty": {}, "unknown first byte": {7, 1}, "cut short": pack(bytes.Repeat([]byte("account-1 "), 400))[:20], "too large": bomb.Bytes(),
	} {
		if _, err := unpack(frame); !errors.Is(err, errFrame) {
			t.Errorf("%s: got error %v, want errFrame", name, err)
		}
	}
}

// TestEarlierBuildGetsPlainMessages guards against frames on a connection whose other end
// does not know them.
func TestEarlierBuildGetsPlainMessages(t *testing.T) {
	for _, c := range []struct {
		subprotocols []string
		want         string
	}{{nil, ""}, {[]string{framedProtocol}, framedProtocol}} {
		n := newNode(t, "b", "secret")
		conn, _, err := websocket.Dial(t.Context(), "ws://"+n.address()+host.Path, &websocket.DialOptions{
			HTTPHeader: http.Header{tokenHeader: {n.mesh.token}, "Celerypin-From": {"a"}, "Celerypin-To": {"b"}}, Subprotocols: c.subprotocols,
		})
		if err != nil {
			t.Fatal(err)
		}
		if got := conn.Subprotocol(); got != c.want {
			t.Errorf("got subprotocol %q, want %q", got, c.want)
		}
		_ = conn.CloseNow()
	}
}
