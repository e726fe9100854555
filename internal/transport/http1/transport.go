package http1

import (
	"io"
	"net/http"
	"net/http/httptrace"
)

// checkedBody reads the body of an answer and checks its trailer.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if malformed := checkFields(b.response.Trailer); malformed != nil {
			err = malformed
		}
	}
	return n, err
}

// Transport is an http.RoundTripper that fails with ErrAnswerMalformed where net/http takes
// an answer that HTTP does not allow.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport that sends requests through base, on connections that
// dialer makes.
func NewTransport(dialer *Dialer, base *http.Transport) *Transport {
	base.DialContext = dialer.DialContext
	return &Transport{base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*dialedConn); ok {
			_ = conn.expectHead(nil)
		}
	}}
	response, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		_ = response.Body.Close()
		// The connection of an answer without a body is idle already.
		t.CloseIdleConnections()
		return nil, err
	}
	// Other answers have no trailer; the body of a switched protocol is also written to.
	if len(response.TransferEncoding) > 0 {
		response.Body = &checkedBody{response.Body, response}
	}
	return response, nil
}
