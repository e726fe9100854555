// Package platform is a client of the platform's service over HTTP.
package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"celerypin.example/celerypin/internal/protocol/codec"
	"celerypin.example/celerypin/internal/protocol/platform"
	"celerypin.example/celerypin/internal/transport/http1"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/table"
)

// maxAnswerBytes is the largest answer that is read.
const maxAnswerBytes = 64 << 20

// maxHeaderBytes bounds the head of an answer.
const maxHeaderBytes = 64 << 10

// maxIdleAge is the age from which an idle connection is not reused.
const maxIdleAge = 5 * time.Second

// Client implements table.Service.
type Client struct {
	base    string
	host    id.Host
	timeout time.Duration
	http    *http.Client
}

// New returns a client of the service at the URL base; timeout bounds each call.
func New(base string, host id.Host, timeout time.Duration) *Client {
	dialer := &http1.Dialer{Dialer: net.Dialer{Timeout: timeout}}
	transport := http1.NewTransport(dialer, &http.Transport{
		MaxIdleConnsPerHost:    8,
		IdleConnTimeout:        maxIdleAge,
		MaxResponseHeaderBytes: maxHeaderBytes,
	})
	return &Client{base: base, host: host, timeout: timeout, http: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Commit applies a transaction and returns its revision.
func (c *Client) Commit(ctx context.Context, txn table.Txn) (table.Revision, error) {
	answer, err := call[table.Txn, platform.TxnAnswer](ctx, c, http.MethodPost, platform.TxnPath, &txn)
	return answer.Revision, err
}

// Rows returns the current rows of the given keys; absent rows are omitted.
func (c *Client) Rows(ctx context.Context, keys []table.Key) ([]table.Row, error) {
	request := platform.RowsRequest{Keys: keys}
	answer, err := call[platform.RowsRequest, platform.RowsAnswer](ctx, c, http.MethodPost, platform.RowsPath, &request)
	return answer.Rows, err
}

// Changes returns the rows that changed after a revision.
func (c *Client) Changes(ctx context.Context, after table.Revision) (table.Changes, error) {
	query := url.Values{"after": {strconv.FormatUint(uint64(after), 10)}}
	return call[struct{}, table.Changes](ctx, c, http.MethodGet, platform.ChangesPath+"?"+query.Encode(), nil)
}

// Upstreams returns the platform's list of upstreams, which lags behind their state.
func (c *Client) Upstreams(ctx context.Context) ([]fleet.Upstream, error) {
	answer, err := call[struct{}, platform.UpstreamsAnswer](ctx, c, http.MethodGet, platform.UpstreamsPath, nil)
	return answer.Upstreams, err
}

// ReportUpstream reports the state of an upstream to the platform.
func (c *Client) ReportUpstream(ctx context.Context, request platform.UpstreamRequest) error {
	_, err := call[platform.UpstreamRequest, struct{}](ctx, c, http.MethodPost, platform.UpstreamsPath, &request)
	return err
}

// call sends one request; In and Out are the types of the bodies of request and answer.
func call[In, Out any](ctx context.Context, c *Client, method, path string, in *In) (Out, error) {
	var out Out
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := newRequest(ctx, c, method, path, in)
	if err != nil {
		return out, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return out, unavailable(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return out, unavailable(err)
	}
	if err := statusError(response.StatusCode, body); err != nil {
		return out, err
	}
	out, err = codec.JSON[Out]{}.Decode(body)
	if err != nil {
		return out, fmt.Errorf("%w: answer of the platform: %w", table.ErrUnavailable, err)
	}
	return out, nil
}

func newRequest[In any](ctx context.Context, c *Client, method, path string, in *In) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		data, err := codec.JSON[In]{}.Encode(*in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set(platform.HostHeader, string(c.host))
	return request, nil
}

// unavailable classifies an error of the connection. A refused connection proves that
// the service is down and that the call had no effect.
func unavailable(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: %w", table.ErrRefused, err)
	}
	return fmt.Errorf("%w: %w", table.ErrUnavailable, err)
}

// statusError returns the error that an answer's status stands for, or nil.
func statusError(status int, body []byte) error {
	switch status {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusConflict, http.StatusPreconditionFailed:
		answer, err := codec.JSON[platform.RowsAnswer]{}.Decode(body)
		if err != nil {
			return fmt.Errorf("%w: %w", table.ErrUnavailable, err)
		}
		return &table.ConflictError{Rows: answer.Rows}
	case http.StatusServiceUnavailable:
		return table.ErrRefused
	default:
		return fmt.Errorf("%w: status %d: %s", table.ErrUnavailable, status, bytes.TrimSpace(body))
	}
}
