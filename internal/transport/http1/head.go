package http1

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// The status codes that HTTP defines (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// checkHead returns an error that matches ErrAnswerMalformed for heads that net/http accepts
// although they are not valid: it parses any version, any three-digit status, and field names
// with blanks.
func checkHead(response *http.Response) error {
	if response.ProtoMajor != 1 {
		return fmt.Errorf("%w: version %q", ErrAnswerMalformed, response.Proto)
	}
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return fmt.Errorf("%w: status %q", ErrAnswerMalformed, response.Status)
	}
	return checkFields(response.Header)
}

// checkFields returns an error that matches ErrAnswerMalformed if a field name is not a token.
// net/http keeps names with blanks untrimmed and ignores them, even if they mean a field that
// frames the body.
func checkFields(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %q", ErrAnswerMalformed, name)
		}
	}
	return nil
}

// checkedBody is the body of an answer. It checks the trailer at the end.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if malformed := checkFields(b.response.Trailer); malformed != nil {
			err = malformed
		}
	}
	return n, err
}

// maxScannedLineBytes is how much of each line a headScanner keeps: enough for the status code
// and for the names of the fields that frame a body.
const maxScannedLineBytes = 32

// headScanner rejects raw heads that net/http repairs silently: it joins folded lines, drops
// Content-Length beside Transfer-Encoding, and ignores Transfer-Encoding in HTTP/1.0. Senders
// must not send any of these (RFC 9112, sections 5.2, 6.1 and 6.2), and recipients disagree on
// where such a body ends. The zero value scans nothing.
type headScanner struct {
	// active is set from the beginning of a head to the end of the next final one.
	active bool
	// line is the beginning of the current line.
	line []byte
	// hasStatus is set once the status line has ended.
	hasStatus bool
	// oldVersion and interim state that the head is of HTTP/1.0, and of an interim response.
	oldVersion, interim    bool
	hasLength, hasEncoding bool
}

// begin starts the scan of a head.
func (s *headScanner) begin() { *s = headScanner{active: true, line: s.line[:0]} }

// scan checks the next bytes. It ignores those behind a final head.
func (s *headScanner) scan(p []byte) error {
	for s.active {
		part, rest, ended := bytes.Cut(p, []byte("\n"))
		s.line = append(s.line, part[:min(len(part), maxScannedLineBytes-len(s.line))]...)
		if !ended {
			return nil
		}
		if err := s.endLine(bytes.TrimSuffix(s.line, []byte("\r"))); err != nil {
			return err
		}
		s.line, p = s.line[:0], rest
	}
	return nil
}

// endLine checks a line, which is truncated to maxScannedLineBytes.
func (s *headScanner) endLine(line []byte) error {
	switch {
	case !s.hasStatus:
		version, status, _ := bytes.Cut(line, []byte(" "))
		status = bytes.TrimLeft(status, " ")
		s.hasStatus, s.oldVersion = true, bytes.Equal(version, []byte("HTTP/1.0"))
		s.interim = bytes.HasPrefix(status, []byte("1")) && !bytes.HasPrefix(status, []byte("101"))
	case len(line) == 0:
		return s.endHead()
	case line[0] == ' ' || line[0] == '\t':
		return fmt.Errorf("%w: folded line %q", ErrAnswerMalformed, line)
	default:
		name, _, _ := bytes.Cut(line, []byte(":"))
		s.hasLength = s.hasLength || bytes.EqualFold(name, []byte("Content-Length"))
		s.hasEncoding = s.hasEncoding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	}
	return nil
}

// endHead checks what the fields of a head state together.
func (s *headScanner) endHead() error {
	if s.hasEncoding && (s.hasLength || s.oldVersion) {
		return fmt.Errorf("%w: Transfer-Encoding with Content-Length or in HTTP/1.0", ErrAnswerMalformed)
	}
	if s.interim {
		s.begin()
	} else {
		s.active = false
	}
	return nil
}
