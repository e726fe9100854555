package caller

import "net/http"

// CloseOldConnections returns a handler that closes the connection after the answer to a
// request of HTTP/1.0. net/http ignores Transfer-Encoding in such requests, and would read
// the chunks as the next request.
func CloseOldConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !r.ProtoAtLeast(1, 1) {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
