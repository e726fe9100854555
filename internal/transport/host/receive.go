package host

import (
	"context"
	"errors"

	"github.com/coder/websocket"

	"celerypin.example/celerypin/internal/protocol/codec"
	"celerypin.example/celerypin/pkg/state/confine"
	"celerypin.example/celerypin/pkg/state/id"
)

func (m *Mesh[M]) receive(ctx context.Context, h id.Host, l *link) {
	for {
		data, err := readMessage(ctx, l.conn)
		if err != nil {
			return
		}
		m.receivedBytes.Inc(int64(len(data)))
		accepted := true
		// After a panic the next message is read: others may be sound.
		m.guard.Run(taskMessage, func() { accepted = m.acceptFrom(h, l, data) })
		if !accepted {
			m.log.With("host", h).Warn("A malformed or misaddressed message closed the connection.")
			return
		}
	}
}

// acceptFrom unpacks and accepts a message that was received on a link.
func (m *Mesh[M]) acceptFrom(h id.Host, l *link, data []byte) bool {
	if l.framed {
		var err error
		if data, err = unpack(data); err != nil {
			return false
		}
	}
	return m.accept(h, data)
}

// accept passes on a message from a host. It reports whether the message is well-formed
// and addressed to this host. A sound message of an unknown kind is only counted: a later
// build of the host sends it, and the other messages of that host are needed.
func (m *Mesh[M]) accept(h id.Host, data []byte) bool {
	from, to, message, err := m.codec.Decode(data)
	unknown := errors.Is(err, codec.ErrUnknown)
	if (err != nil && !unknown) || from != h || (to != m.self && to != anyHost) {
		return false
	}
	if unknown {
		m.unknownMessages.Inc(1)
		return true
	}
	m.events.Received(from, message)
	return true
}

// Tasks to which panics are confined.
const (
	taskConnection confine.Task = "host connection"
	taskMessage    confine.Task = "host message"
)

func readMessage(ctx context.Context, conn *websocket.Conn) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	_, data, err := conn.Read(ctx)
	return data, err
}
