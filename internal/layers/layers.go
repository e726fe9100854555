// Package layers states the layers of the code and the direction of imports
// between them: transport -> protocol -> coordination -> state.
package layers

import "strings"

// Layer is a set of packages. A layer may import itself and lower ones.
type Layer int

// The layers, from the lowest.
const (
	State Layer = iota
	Coordination
	Protocol
	Transport
	// Assembly holds what puts the layers together: daemons, stand-ins, commands.
	Assembly
	// Support may be imported by every layer above coordination, and imports none.
	Support
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

// Of returns the layer of a package, named by its path below the module.
func Of(path string) Layer {
	for _, p := range prefixes {
		if strings.HasPrefix(path, p.prefix) {
			return p.layer
		}
	}
	return Unknown
}

// MayImport tells whether a package of one layer may import one of another.
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

// pureBans are packages of the standard library that decisions and state do not
// use: sockets, encodings of messages, and timers.
var pureBans = []string{"net", "net/http", "encoding/json", "github.com/fxamacker/cbor/v2", "github.com/coder/websocket", "os"}

// BannedBelow tells whether the layers of state and coordination may not
// import a package from outside the module.
func BannedBelow(path string) bool {
	for _, banned := range pureBans {
		if path == banned {
			return true
		}
	}
	return false
}
