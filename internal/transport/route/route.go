// Package route adapts handlers of the standard library to the router.
package route

import (
	"net/http"

	"github.com/uptrace/bunrouter"
)

// Handler adapts h. Unlike the router's own adapter it does not recover from panics,
// so that http.ErrAbortHandler closes the connection and a client cannot take a
// truncated answer for a complete one.
func Handler(h http.HandlerFunc) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		h(w, r.Request)
		return nil
	}
}
