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
	return checkFields(response.Header, ErrAnswerMalformed)
}

// errRequestMalformed means that the head of a client's request is not valid HTTP.
var errRequestMalformed = errors.New("malformed request")

// checkRequest returns an error that matches errRequestMalformed for heads that
// http.ReadRequest accepts although they are not valid. head has scanned the request's head.
func checkRequest(request *http.Request, head *headScanner) error {
	if head.hasEncoding && !request.ProtoAtLeast(1, 1) {
		return fmt.Errorf("%w: %s", errRequestMalformed, contradictoryFraming)
	}
	return checkFields(request.Header, errRequestMalformed)
}

// checkFields returns an error that matches malformed if a field name is not a token.
// net/http keeps names with blanks untrimmed and ignores them, even if they mean a field that
// frames the body.
func checkFields(fields http.Header, malformed error) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %q", malformed, name)
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
		if malformed := checkFields(b.response.Trailer, ErrAnswerMalformed); malformed != nil {
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
// where such a body ends. The zero value scans nothing. The errors match malformed.
type headScanner struct {
	// malformed is the error that the scanner's errors match. ErrAnswerMalformed stands for
	// answers, errRequestMalformed for requests.
	malformed error
	// active is set from the beginning of a head to the end of the next final one.
	active bool
	// line is the beginning of the current line.
	line []byte
	// hasStartLine is set once the status line or the request line has ended.
	hasStartLine bool
	// oldVersion and interim state that the head is of HTTP/1.0, and of an interim response.
	oldVersion, interim    bool
	hasLength, hasEncoding bool
}

// begin starts the scan of a head.
func (s *headScanner) begin(malformed error) {
	*s = headScanner{malformed: malformed, active: true, line: s.line[:0]}
}

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
	case !s.hasStartLine:
		s.endStartLine(line)
	case len(line) == 0:
		return s.endHead()
	case line[0] == ' ' || line[0] == '\t':
		return fmt.Errorf("%w: folded line %q", s.malformed, line)
	default:
		name, _, _ := bytes.Cut(line, []byte(":"))
		s.hasLength = s.hasLength || bytes.EqualFold(name, []byte("Content-Length"))
		s.hasEncoding = s.hasEncoding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	}
	return nil
}

// endStartLine takes the version and, from a status line, whether the response is interim. The
// version of a request is at the end of its line and may be missing here; see checkRequest.
func (s *headScanner) endStartLine(line []byte) {
	s.hasStartLine = true
	version, status, _ := bytes.Cut(line, []byte(" "))
	if !bytes.HasPrefix(version, []byte("HTTP/")) {
		return
	}
	status = bytes.TrimLeft(status, " ")
	s.oldVersion = bytes.Equal(version, []byte("HTTP/1.0"))
	s.interim = bytes.HasPrefix(status, []byte("1")) && !bytes.HasPrefix(status, []byte("101"))
}

const contradictoryFraming = "Transfer-Encoding with Content-Length or in HTTP/1.0"

// endHead checks what the fields of a head state together.
func (s *headScanner) endHead() error {
	if s.hasEncoding && (s.hasLength || s.oldVersion) {
		return fmt.Errorf("%w: %s", s.malformed, contradictoryFraming)
	}
	if s.interim {
		s.begin(s.malformed)
	} else {
		s.active = false
	}
	return nil
}
