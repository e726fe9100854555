package route

import (
	"net/http"

	"celerypin.example/celerypin/internal/protocol/codec"
)

// WriteJSON writes an answer with the status and v as its JSON body. If v cannot be
// encoded, the answer is an empty object with status 500.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	data, err := codec.JSON[any]{}.Encode(v)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte("{}")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}
