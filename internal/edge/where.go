package edge

import (
	"net/http"

	"celerypin.example/celerypin/internal/protocol/operator"
	"celerypin.example/celerypin/internal/protocol/where"
	"celerypin.example/celerypin/internal/transport/route"
)

// maxListedUpstreams bounds the upstreams of a service in an answer to those that an
// operator can read; all that were compared are listed.
const maxListedUpstreams = 40

// serveWhere answers where a request would go now, from the snapshots that requests read.
// It needs neither the store nor the control loop.
func (h *Host) serveWhere(w http.ResponseWriter, r *http.Request) {
	inquiry, err := where.Parse(r.URL.Query())
	if err != nil {
		route.WriteJSON(w, http.StatusBadRequest, operator.Error{Code: operator.CodeInvalid, Message: err.Error()})
		return
	}
	inquiry.Pool = h.drawer.Holder()
	route.WriteJSON(w, http.StatusOK, where.FromPlan(h.settings.Load().Host, h.steerer.Plan(&inquiry), maxListedUpstreams))
}
