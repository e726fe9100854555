package operator

import (
	"net/http"

	"celerypin.example/celerypin/internal/protocol/operator"
	"celerypin.example/celerypin/pkg/coordination/agent"
	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/table"
)

func (s *Server) listReleases(*http.Request) (any, error) {
	list := operator.ReleaseList{Releases: []operator.ReleaseEntry{}}
	s.Control.Inspect(func(a *agent.Agent, _ clock.Instant) {
		for _, row := range a.Rows(table.ReleasePrefix) {
			list.Releases = append(list.Releases, operator.ReleaseEntry{Revision: row.Revision, Release: *row.Release})
		}
	})
	return list, nil
}

// startRelease starts a change of release. The change is based on this host's view of the
// current row, so a concurrent change by another operator makes it a conflict.
func (s *Server) startRelease(r *http.Request) (any, error) {
	start, err := decodeBody[operator.ReleaseStart](r)
	if err != nil {
		return nil, err
	}
	current, revision := s.currentRelease(start)
	next, err := nextRelease(start, current)
	if err != nil {
		return nil, err
	}
	row := table.Row{Key: table.ReleaseKey(start.Service), Release: &next}
	revision, err = s.commitRow(r, row, revision)
	if err != nil {
		return nil, err
	}
	return operator.ReleaseEntry{Revision: revision, Release: next}, nil
}

func (s *Server) currentRelease(start operator.ReleaseStart) (current *table.ReleaseChange, revision table.Revision) {
	s.Control.Inspect(func(a *agent.Agent, _ clock.Instant) {
		for _, row := range a.Rows(table.ReleasePrefix) {
			if row.Release.Service == start.Service {
				current, revision = row.Release, row.Revision
			}
		}
	})
	return current, revision
}

// nextRelease returns the record of the new change of release, given the current record, which
// may be nil.
func nextRelease(start operator.ReleaseStart, current *table.ReleaseChange) (table.ReleaseChange, error) {
	old := start.Old
	if current != nil {
		old = current.Old
		if current.State == table.ReleaseDone {
			old = current.New
		}
	}
	switch {
	case old == "":
		return table.ReleaseChange{}, newAPIError(http.StatusBadRequest, operator.CodeInvalid, "old: want the release that carries the traffic, because none is recorded")
	case start.Old != "" && start.Old != old:
		return table.ReleaseChange{}, newAPIError(http.StatusBadRequest, operator.CodeInvalid, "old: want "+string(old)+", which carries the traffic")
	case start.New == old:
		return table.ReleaseChange{}, newAPIError(http.StatusBadRequest, operator.CodeInvalid, "new: want another release than the one that carries the traffic")
	case current != nil && current.State == table.ReleaseGrowing:
		return table.ReleaseChange{}, newAPIError(http.StatusConflict, operator.CodeConflict, "the change to "+string(current.New)+" is under way; take it back or wait until it is done")
	case current != nil && current.State == table.ReleaseRetreated && current.New == start.New:
		return table.ReleaseChange{}, newAPIError(http.StatusConflict, operator.CodeConflict, "release "+string(start.New)+" was taken back and never returns; give the mended one another name")
	}
	return table.ReleaseChange{
		Service: start.Service, Old: old, New: start.New, Share: release.FirstShare(table.Whole),
		State: table.ReleaseGrowing, Deadline: start.Deadline,
	}, nil
}

func (s *Server) retreat(r *http.Request) (any, error) {
	request, err := decodeBody[operator.ReleaseRetreat](r)
	if err != nil {
		return nil, err
	}
	target := release.ID{Service: request.Service, Release: request.Release}
	s.Control.Retreat(target)
	var answer operator.ReleaseRetreated
	s.awaitCondition(r.Context(), func() bool {
		s.Control.Inspect(func(a *agent.Agent, _ clock.Instant) {
			withdrawal := a.ReleaseWithdrawal(target)
			answer = operator.ReleaseRetreated{InForce: withdrawal.InForce, Missing: withdrawal.Missing, Recorded: withdrawal.Recorded}
		})
		return len(answer.Missing) == 0 && answer.Recorded
	})
	return answer, nil
}
