package http1

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// writeAnswers writes the answers in the order of their requests, until the queue is closed.
func (c *serverConn) writeAnswers() {
	for x := range c.queue {
		c.finish(x)
	}
}

// finish waits for the reply to a request and writes it, unless an earlier answer failed.
func (c *serverConn) finish(x *exchange) {
	defer close(x.answered)
	defer c.finishRequest()
	reply := <-x.reply
	if reply.Rest != nil {
		defer reply.Rest.Close()
	}
	if c.failed {
		return
	}
	written := false
	c.server.guard.Run(taskAnswer, func() { written = c.writeAnswer(x, reply) })
	if !written {
		c.abort()
	}
}

// abort closes the connection, on which no further answer can be written.
func (c *serverConn) abort() {
	c.failed = true
	c.cancel(ErrClientDisconnected)
	_ = c.conn.Close()
}

// writeAnswer writes one answer and reports whether that succeeded.
func (c *serverConn) writeAnswer(x *exchange, reply Reply) bool {
	if reply.Abort || c.disconnected() {
		return false
	}
	last := c.closesAfter(x)
	_ = c.conn.SetWriteDeadline(time.Now().Add(replyTimeout))
	c.writeHead(x, reply, last)
	if x.call.Request == nil || x.call.Request.Method != http.MethodHead {
		_, _ = c.out.Write(reply.Body)
		if reply.Rest != nil && !c.writeRest(reply) {
			return false
		}
	}
	if c.out.Flush() != nil {
		return false
	}
	if last && !x.last {
		c.stopReading()
	}
	return true
}

func (c *serverConn) writeHead(x *exchange, reply Reply, closing bool) {
	_, _ = c.out.WriteString("HTTP/1.1 " + strconv.Itoa(reply.Status) + " " + http.StatusText(reply.Status) + "\r\n")
	_ = reply.Header.Write(c.out)
	switch {
	case reply.Rest == nil:
		_, _ = c.out.WriteString("Content-Length: " + strconv.Itoa(contentLength(x, reply)) + "\r\n")
	case reply.Length >= 0:
		_, _ = c.out.WriteString("Content-Length: " + strconv.FormatInt(reply.Length, 10) + "\r\n")
	default:
		_, _ = c.out.WriteString("Transfer-Encoding: chunked\r\n")
	}
	if closing {
		_, _ = c.out.WriteString("Connection: close\r\n")
	}
	_, _ = c.out.WriteString("\r\n")
}

// contentLength returns the length that a head announces; the answer to HEAD
// announces that of the body it omits.
func contentLength(x *exchange, reply Reply) int {
	if x.call.Request != nil && x.call.Request.Method == http.MethodHead && reply.Length > 0 {
		return int(reply.Length)
	}
	return len(reply.Body)
}

// writeRest streams a large answer. A truncated answer must not look complete, so the
// connection closes without the last chunk.
func (c *serverConn) writeRest(reply Reply) bool {
	var w io.Writer = c.out
	chunked := reply.Length < 0
	if chunked {
		w = &chunkWriter{c.out}
	}
	if _, err := io.Copy(&deadlineWriter{c.conn, w}, reply.Rest); err != nil {
		return false
	}
	if chunked {
		_, _ = c.out.WriteString("0\r\n\r\n")
	}
	return true
}
