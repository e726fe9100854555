package caller

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"
)

// TestBodyOfOldRequestHidesNoOther guards against chunks in a request of HTTP/1.0 that are
// handled as a request of their own.
func TestBodyOfOldRequestHidesNoOther(t *testing.T) {
	handled := make(chan string, 4)
	server := httptest.NewServer(CloseOldConnections(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { handled <- r.URL.Path })))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.WriteString(conn, "POST /a HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n"+
		"GET /hidden HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	_, _ = io.ReadAll(conn)
	var got []string
	for len(handled) > 0 {
		got = append(got, <-handled)
	}
	if want := []string{"/a"}; !slices.Equal(got, want) {
		t.Errorf("got %v handled, want %v", got, want)
	}
}
