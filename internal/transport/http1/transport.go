package http1

import (
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.RoundTripper that fails with ErrAnswerMalformed where net/http accepts
// an invalid answer.
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
		// If the answer has no body, its connection is already idle.
		t.CloseIdleConnections()
		return nil, err
	}
	// Only chunked answers have a trailer. After a switch of protocols, the body must remain
	// an io.Writer.
	if len(response.TransferEncoding) > 0 {
		response.Body = &checkedBody{response.Body, response}
	}
	return response, nil
}
