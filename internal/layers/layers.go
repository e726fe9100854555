// Package layers defines the layers of the code and the allowed direction of
// imports between them: transport -> protocol -> coordination -> state.
package layers

import "strings"

// Layer is a set of packages. Packages of a layer may import those of the same
// layer and of lower ones.
type Layer int

// The layers, from the lowest.
const (
	State Layer = iota
	Coordination
	Protocol
	Transport
	// Assembly wires the other layers together: daemons, stand-ins, commands.
	Assembly
	// Support may be imported by every layer above coordination, and imports no other
	// package of the module.
	Support
	// Unknown is the layer of a package without an entry in this file.
	Unknown
)

var prefixes = []struct {
	prefix string
	layer  Layer
}{
	{"pkg/state/", State},
	{"pkg/coordination/", Coordination},
	{"internal/protocol/", Protocol},
	{"platform/", Protocol},
	{"internal/transport/", Transport},
	{"internal/edge/", Assembly},
	{"internal/explain/", Assembly},
	{"internal/loadmodel/", Assembly},
	{"internal/soak/", Assembly},
	{"internal/daemon/", Assembly},
	{"internal/standin/", Assembly},
	{"internal/demo/", Assembly},
	{"cmd/", Assembly},
	{"internal/logging/", Support},
	{"internal/layers/", Support},
	{"internal/golden/", Support},
	{"internal/faultnet/", Support},
}

// Of returns the layer of the package at the given path below the module root.
// The path ends in a slash.
func Of(path string) Layer {
	for _, p := range prefixes {
		if strings.HasPrefix(path, p.prefix) {
			return p.layer
		}
	}
	return Unknown
}

// MayImport reports whether a package of layer from may import one of layer to.
func MayImport(from, to Layer) bool {
	switch {
	case from == Unknown || to == Unknown:
		return false
	case from == Support:
		return false
	case to == Support:
		return from >= Protocol
	default:
		return to <= from
	}
}

// impureImports are the packages outside the module that state and coordination
// must not import: sockets, encodings of messages, and the operating system.
var impureImports = []string{"net", "net/http", "encoding/json", "github.com/fxamacker/cbor/v2", "github.com/coder/websocket", "os"}

// IsImpure reports whether the package outside the module at the given path is
// forbidden in the layers of state and coordination.
func IsImpure(path string) bool {
	for _, impure := range impureImports {
		if path == impure {
			return true
		}
	}
	return false
}
