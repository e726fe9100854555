package operator

import (
	"net/http"

	"celerypin.example/celerypin/internal/protocol/operator"
	"celerypin.example/celerypin/pkg/coordination/agent"
	"celerypin.example/celerypin/pkg/coordination/shift"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/table"
)

func (s *Server) listShifts(*http.Request) (any, error) {
	list := operator.ShiftList{Shifts: []operator.ShiftEntry{}}
	s.Control.Inspect(func(a *agent.Agent, _ clock.Instant) {
		for _, row := range a.Rows(table.ShiftPrefix) {
			list.Shifts = append(list.Shifts, operator.ShiftEntry{Revision: row.Revision, Shift: *row.Shift})
		}
	})
	return list, nil
}

func (s *Server) currentShift(from id.Region) (current *table.Shift, revision table.Revision) {
	s.Control.Inspect(func(a *agent.Agent, _ clock.Instant) {
		for _, row := range a.Rows(table.ShiftPrefix) {
			if row.Shift.From == from {
				current, revision = row.Shift, row.Revision
			}
		}
	})
	return current, revision
}

// startShift starts a shift. A region has one shift at a time. Another one may start only
// after the first has been undone, so that the share in force never jumps.
func (s *Server) startShift(r *http.Request) (any, error) {
	start, err := decodeBody[operator.ShiftStart](r)
	if err != nil {
		return nil, err
	}
	if start.From == start.To {
		return nil, newAPIError(http.StatusBadRequest, operator.CodeInvalid, "to: want another region than from")
	}
	current, revision := s.currentShift(start.From)
	if current != nil && current.State != table.ShiftUndone {
		return nil, newAPIError(http.StatusConflict, operator.CodeConflict, "a shift of "+string(start.From)+" is "+string(current.State)+"; undo it first")
	}
	next := table.Shift{From: start.From, To: start.To, Target: start.Target, Cap: start.Cap, Interval: start.Interval, State: table.ShiftMoving}
	return s.commitShift(r, next, revision)
}

func (s *Server) undoShift(r *http.Request) (any, error) {
	request, err := decodeBody[operator.ShiftUndo](r)
	if err != nil {
		return nil, err
	}
	current, revision := s.currentShift(request.From)
	if current == nil {
		return nil, newAPIError(http.StatusBadRequest, operator.CodeInvalid, "from: want a region with a shift")
	}
	if current.State == table.ShiftUndoing || current.State == table.ShiftUndone {
		return operator.ShiftEntry{Revision: revision, Shift: *current}, nil
	}
	return s.commitShift(r, shift.Undo(*current), revision)
}

func (s *Server) commitShift(r *http.Request, next table.Shift, base table.Revision) (any, error) {
	revision, err := s.commitRow(r, table.Row{Key: table.ShiftKey(next.From), Shift: &next}, base)
	if err != nil {
		return nil, err
	}
	return operator.ShiftEntry{Revision: revision, Shift: next}, nil
}
