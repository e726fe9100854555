package http1

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
)

// Errors of an answer; an exchange that fails with one also matches ErrNoAnswer.
var (
	// ErrAnswerTooLarge means that an upstream sent more than the limits of answers allow.
	ErrAnswerTooLarge = errors.New("the upstream's answer exceeds its limits")
	// ErrAnswerTooSlow means that a streamed answer fell below the least rate, or did not
	// end in time.
	ErrAnswerTooSlow = errors.New("the upstream's answer is too slow")
	// ErrAnswerForeign means that an answer is not, or may not be, this request's.
	ErrAnswerForeign = errors.New("the answer belongs to another request")
	// ErrAnswerMalformed means that an answer is not valid HTTP/1.
	ErrAnswerMalformed = errors.New("the upstream's answer is malformed")
)

// Answer is an upstream's answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest replaces Body if the answer is too large to be buffered.
	Rest *BodyReader
	// Length is the announced length of the body in bytes, or -1 if unknown.
	Length int64
	// Close reports whether the connection closes after this answer.
	Close bool
	// ReusedConnection reports whether the exchange used a pooled connection.
	ReusedConnection bool
}

// Owner is whose answer a head belongs to.
type Owner int

const (
	// OwnAnswer means that the answer names this request.
	OwnAnswer Owner = iota
	// ForeignAnswer means that the answer names another request; it is skipped.
	ForeignAnswer
	// UnnamedAnswer means that the answer names no request. It is this request's if no
	// other was sent on the connection.
	UnnamedAnswer
)

// AnswerLimits bound what an upstream may send in answer to one request. A connection on
// which a limit is exceeded is closed.
type AnswerLimits struct {
	// HeadBytes bounds all heads together: the answer's, those of interim responses and of
	// skipped answers.
	HeadBytes int64
	// SkippedBytes bounds the bodies of skipped answers together.
	SkippedBytes int64
	// StreamBytes bounds a body that is forwarded while it arrives, because it is too large
	// to be buffered.
	StreamBytes int64
	// StreamBytesPerSecond is the least average rate of such a body.
	StreamBytesPerSecond int64
	// StreamGrace is how long after the deadline of the request such a body may end.
	StreamGrace time.Duration
}

// DefaultAnswerLimits are the limits unless the settings state others.
var DefaultAnswerLimits = AnswerLimits{
	HeadBytes: 64 << 10, SkippedBytes: 256 << 10, StreamBytes: 64 << 20, StreamBytesPerSecond: 8 << 10, StreamGrace: 20 * time.Second,
}

const (
	// maxForeignAnswers bounds the answers to other requests that one exchange skips.
	maxForeignAnswers = 2
	// maxInterimHeads bounds the interim responses before one answer.
	maxInterimHeads = 8
	// maxBufferedAnswerBytes is the largest body of an answer that is buffered
	// whole before it is forwarded.
	maxBufferedAnswerBytes = 1 << 20
	// maxChunkingFactor bounds the bytes of a buffered body as encoded, as a multiple of
	// maxBufferedAnswerBytes.
	maxChunkingFactor = 2
	// streamStartup is added to the time in which a streamed body must reach its least rate.
	streamStartup = 2 * time.Second
)

// read returns the answer that belongs to the request, and reports whether the
// connection is reusable.
func (c *poolConn) read(r *Request, limits AnswerLimits, streamEnd time.Time) (*Answer, bool, error) {
	request := &http.Request{Method: r.Method}
	headBytes, skippedBytes := limits.HeadBytes+readBufferBytes, limits.SkippedBytes
	for skipped := 0; ; skipped++ {
		c.limit.setLimit(headBytes)
		response, err := c.readHead(request)
		headBytes = c.limit.remaining
		if err != nil {
			return nil, false, err
		}
		owner := OwnAnswer
		if r.Owner != nil {
			owner = r.Owner(response.StatusCode, response.Header)
		}
		switch {
		case owner == OwnAnswer, owner == UnnamedAnswer && !c.reused && skipped == 0:
			return c.readBody(response, limits, streamEnd)
		case owner == UnnamedAnswer, response.Close, skipped >= maxForeignAnswers:
			return nil, false, ErrAnswerForeign
		}
		c.limit.setLimit(skippedBytes)
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, false, err
		}
		skippedBytes = c.limit.remaining
	}
}

// readHead reads the head of the next final response and skips interim ones.
func (c *poolConn) readHead(request *http.Request) (*http.Response, error) {
	buffered, err := c.in.Peek(c.in.Buffered())
	if err != nil {
		return nil, err
	}
	if err := c.expectHead(buffered); err != nil {
		return nil, err
	}
	for range maxInterimHeads {
		response, err := http.ReadResponse(c.in, request)
		if err != nil {
			return nil, err
		}
		if err := checkHead(response); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			response.Body = &checkedBody{response.Body, response}
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the upstream switched protocols")
		}
	}
	return nil, ErrAnswerTooLarge
}

// readBody buffers a small body and leaves a large one to be streamed. It reports
// whether the connection is reusable afterwards.
func (c *poolConn) readBody(response *http.Response, limits AnswerLimits, streamEnd time.Time) (*Answer, bool, error) {
	answer := &Answer{
		Status: response.StatusCode, Header: response.Header, Close: response.Close, Length: response.ContentLength,
	}
	if response.ContentLength > limits.StreamBytes && response.Request.Method != http.MethodHead {
		return nil, false, ErrAnswerTooLarge
	}
	c.maxIdle = maxIdleFromHeader(response.Header.Get("Keep-Alive"))
	c.limit.setLimit(maxChunkingFactor * maxBufferedAnswerBytes)
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedAnswerBytes))
	if err != nil {
		return nil, false, err
	}
	answer.Body = body
	reusable := !response.Close
	if len(body) < maxBufferedAnswerBytes || response.ContentLength == maxBufferedAnswerBytes {
		return answer, reusable, nil
	}
	c.limit.setLimit(maxChunkingFactor * limits.StreamBytes)
	rest := &streamedBody{in: response.Body, conn: c.Conn, clock: c.clock, limits: limits, end: streamEnd, bytes: int64(len(body))}
	// Rest includes the buffered part, so that the writer encodes the body in one way.
	answer.Body = nil
	answer.Rest = newBodyReader(struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(body), rest), response.Body})
	return answer, reusable, nil
}

// streamedBody reads the body of an answer that is forwarded while it arrives, within
// the limits of such answers. The time in which nobody reads does not count against the
// least rate, because a slow client is not the upstream's fault.
type streamedBody struct {
	in     io.Reader
	conn   net.Conn
	clock  clock.Clock
	limits AnswerLimits
	// end is when the body must have ended.
	end time.Time
	// bytes is the number of bytes read so far, waited the time spent in reading them.
	bytes  int64
	waited time.Duration
}

// Read implements io.Reader.
func (s *streamedBody) Read(p []byte) (int, error) {
	expected := time.Duration(float64(s.bytes) / float64(max(s.limits.StreamBytesPerSecond, 1)) * float64(time.Second))
	wall, start := s.clock.Wall(), s.clock.Now()
	deadline := wall.Add(streamStartup + expected - s.waited)
	if s.end.Before(deadline) {
		deadline = s.end
	}
	_ = s.conn.SetReadDeadline(deadline)
	n, err := s.in.Read(p)
	s.waited += s.clock.Now().Sub(start)
	s.bytes += int64(n)
	switch {
	case s.bytes > s.limits.StreamBytes:
		return n, ErrAnswerTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		return n, ErrAnswerTooSlow
	}
	return n, err
}

// maxIdleFromHeader returns how long a connection may be idle, from the value of
// its Keep-Alive header.
func maxIdleFromHeader(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return max(min(time.Duration(seconds)*time.Second-idleMargin, maxIdleAge), 0)
		}
	}
	return maxIdleAge
}
