// Package route adapts handlers of the standard library to the router.
package route

import (
	"net/http"

	"github.com/uptrace/bunrouter"
)

// Handler adapts h. Unlike the router's own adapter it lets a panic through, so
// that http.ErrAbortHandler ends the connection and a cut answer is never
// taken for a whole one.
func Handler(h http.HandlerFunc) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		h(w, r.Request)
		return nil
	}
}
