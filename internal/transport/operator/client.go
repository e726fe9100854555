package operator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"celerypin.example/celerypin/internal/protocol/codec"
	"celerypin.example/celerypin/internal/protocol/operator"
	"celerypin.example/celerypin/internal/transport/http1"
)

// Errors of the client.
var (
	// ErrUnreachable means that no host answered.
	ErrUnreachable = errors.New("no host answered")
	// ErrConflict means that a change was based on another revision than the current one.
	ErrConflict = errors.New("changed by another operator")
	// ErrRefused means that the host refused the request.
	ErrRefused = errors.New("refused by the host")
)

// RemoteError is the error that a host returned. It matches ErrRefused, and ErrConflict if it
// is a conflict.
type RemoteError struct{ Body operator.Error }

// Error describes the error with its revisions and faults.
func (e *RemoteError) Error() string {
	text := e.Body.Code + ": " + e.Body.Message
	if e.Body.Current != 0 || e.Body.Base != 0 {
		text += fmt.Sprintf(" (made from revision %d, current is %d)", e.Body.Base, e.Body.Current)
	}
	if len(e.Body.Faults) > 0 {
		text += ": " + strings.Join(e.Body.Faults, "; ")
	}
	return text
}

// Is makes a RemoteError match ErrRefused, and ErrConflict for a conflict.
func (e *RemoteError) Is(target error) bool {
	return target == ErrRefused || (target == ErrConflict && e.Body.Code == operator.CodeConflict)
}

// Client sends the requests of an operator to one host.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// NewClient returns a client for the host at address.
func NewClient(address, token string) *Client {
	transport := http1.NewTransport(&http1.Dialer{}, &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes})
	return &Client{base: "http://" + address, token: token, http: &http.Client{Transport: transport}}
}

// Get reads the resource at path as an Out.
func Get[Out any](ctx context.Context, c *Client, path string) (Out, error) {
	return exchange[Out](ctx, c, http.MethodGet, path, nil)
}

// Send sends in to path and decodes the response as an Out.
func Send[In, Out any](ctx context.Context, c *Client, method, path string, in In) (Out, error) {
	data, err := codec.JSON[In]{}.Encode(in)
	if err != nil {
		var none Out
		return none, err
	}
	return exchange[Out](ctx, c, method, path, data)
}

func exchange[Out any](ctx context.Context, c *Client, method, path string, body []byte) (Out, error) {
	var out Out
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return out, err
	}
	request.Header.Set(operator.TokenHeader, c.token)
	response, err := c.http.Do(request)
	if err != nil {
		return out, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxDocumentBytes))
	if err != nil {
		return out, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if response.StatusCode != http.StatusOK {
		return out, remoteError(response.StatusCode, data)
	}
	return codec.JSON[Out]{}.Decode(data)
}

// remoteError returns the error in a response that is not a success.
func remoteError(status int, data []byte) error {
	body, err := codec.JSON[operator.Error]{}.Decode(data)
	if err != nil {
		body = operator.Error{Code: "status", Message: fmt.Sprintf("status %d: %s", status, bytes.TrimSpace(data))}
	}
	return &RemoteError{Body: body}
}
