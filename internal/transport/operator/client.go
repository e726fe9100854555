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
)

// Errors of the client.
var (
	// ErrUnreachable means that no host answered.
	ErrUnreachable = errors.New("no host answered")
	// ErrConflict means that a change was made from another version than the current one.
	ErrConflict = errors.New("changed by another operator")
	// ErrRefused means that the host refused the request.
	ErrRefused = errors.New("refused by the host")
)

// RemoteError is a refusal with its details. It matches ErrRefused, and
// ErrConflict if it is a conflict.
type RemoteError struct{ Body operator.Error }

// Error describes the refusal with all its faults.
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

// Is classifies the error.
func (e *RemoteError) Is(target error) bool {
	return target == ErrRefused || (target == ErrConflict && e.Body.Code == operator.CodeConflict)
}

// Client is an operator's client of one host.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// NewClient returns a client of the host at address.
func NewClient(address, token string) *Client {
	return &Client{base: "http://" + address, token: token, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Get reads a resource of type Out.
func Get[Out any](ctx context.Context, c *Client, path string) (Out, error) {
	return exchange[Out](ctx, c, http.MethodGet, path, nil)
}

// Send sends a message of type In and returns the answer of type Out.
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
	data, err := io.ReadAll(io.LimitReader(response.Body, maxDocument))
	if err != nil {
		return out, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if response.StatusCode != http.StatusOK {
		return out, remoteError(response.StatusCode, data)
	}
	return codec.JSON[Out]{}.Decode(data)
}

func remoteError(status int, data []byte) error {
	body, err := codec.JSON[operator.Error]{}.Decode(data)
	if err != nil {
		body = operator.Error{Code: "status", Message: fmt.Sprintf("status %d: %s", status, bytes.TrimSpace(data))}
	}
	return &RemoteError{Body: body}
}
