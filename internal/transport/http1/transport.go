package http1

import (
	"fmt"
	"net/http"
)

// The status codes that HTTP defines (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// checkHead returns an error that matches ErrAnswerMalformed if HTTP does not allow the head
// of an answer. net/http parses any version and any three digits.
func checkHead(response *http.Response) error {
	if response.ProtoMajor != 1 {
		return fmt.Errorf("%w: version %q", ErrAnswerMalformed, response.Proto)
	}
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return fmt.Errorf("%w: status %q", ErrAnswerMalformed, response.Status)
	}
	return nil
}

// Transport is an http.RoundTripper that fails with ErrAnswerMalformed where net/http takes
// an answer that HTTP does not allow.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport that sends requests through base.
func NewTransport(base *http.Transport) *Transport { return &Transport{base} }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		_ = response.Body.Close()
		// The connection of an answer without a body is idle already.
		t.CloseIdleConnections()
		return nil, err
	}
	return response, nil
}
