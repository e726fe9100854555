package host

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"

	"celerypin.example/celerypin/internal/protocol/host"
)

// framedProtocol is the WebSocket subprotocol of connections whose messages begin with a
// byte that states their compression. Both ends must know it; a connection to an earlier
// build has none, and carries messages without that byte.
const framedProtocol = "celerypin.framed.1"

// errFrame means that a message of a framed connection cannot be unpacked.
var errFrame = errors.New("malformed frame")

// First bytes of messages on a framed connection.
const (
	frameStored     byte = 0
	frameCompressed byte = 1
)

// minCompressedBytes is the size from which messages are compressed. Smaller ones hold too
// little repetition to be worth the processor time.
const minCompressedBytes = 512

var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		// The level is valid.
		panic(err)
	}
	return w
}}

var decompressors = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

// pack returns a message with its frame byte, compressed if that makes it smaller.
func pack(data []byte) []byte {
	if len(data) >= minCompressedBytes {
		var out bytes.Buffer
		out.WriteByte(frameCompressed)
		w := compressors.Get().(*flate.Writer)
		defer compressors.Put(w)
		w.Reset(&out)
		// Writes to a buffer do not fail.
		_, _ = w.Write(data)
		_ = w.Close()
		if out.Len() <= len(data) {
			return out.Bytes()
		}
	}
	return append([]byte{frameStored}, data...)
}

// unpack returns the message of a frame. Its size is limited like that of a received one,
// so that a small frame cannot take up all memory.
func unpack(frame []byte) ([]byte, error) {
	if len(frame) == 0 {
		return nil, fmt.Errorf("%w: empty", errFrame)
	}
	switch frame[0] {
	case frameStored:
		return frame[1:], nil
	case frameCompressed:
	default:
		return nil, fmt.Errorf("%w: first byte %d", errFrame, frame[0])
	}
	r := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(frame[1:]), nil); err != nil {
		return nil, fmt.Errorf("%w: %w", errFrame, err)
	}
	data, err := io.ReadAll(io.LimitReader(r, host.MaxMessageBytes+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: %w", errFrame, err)
	case len(data) > host.MaxMessageBytes:
		return nil, fmt.Errorf("%w: more than %d bytes", errFrame, host.MaxMessageBytes)
	}
	return data, nil
}
