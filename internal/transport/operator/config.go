package operator

import (
	"errors"
	"net/http"
	"strconv"
	"strings"

	"celerypin.example/celerypin/internal/protocol/operator"
	"celerypin.example/celerypin/internal/protocol/settings"
	"celerypin.example/celerypin/pkg/coordination/agent"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/table"
)

func (s *Server) getConfig(*http.Request) (any, error) {
	var document operator.ConfigDocument
	s.Control.Inspect(func(a *agent.Agent, _ clock.Instant) { document.Config, document.Revision = a.Config() })
	return document, nil
}

func (s *Server) putConfig(r *http.Request) (any, error) {
	document, err := decodeBody[operator.ConfigDocument](r)
	if err != nil {
		return nil, err
	}
	if faults := settings.ReferenceFaults("request: config", document.Config.CheckReferences()); len(faults) > 0 {
		return nil, invalidDocument(errors.Join(faults...))
	}
	row := table.Row{Key: table.ConfigKey, Config: &document.Config}
	revision, err := s.commitRow(r, row, document.Revision, s.historyRows(document.Revision)...)
	if err != nil {
		return nil, err
	}
	applied := operator.ConfigApplied{Revision: revision}
	s.awaitCondition(r.Context(), func() bool {
		applied.InForce, applied.Missing = s.configInForce(revision)
		return len(applied.Missing) == 0
	})
	return applied, nil
}

// maxHistoryEntries is the number of previous configurations that are stored.
const maxHistoryEntries = 20

// historyRows returns the history row of the current configuration, which a change based on
// revision base replaces. It returns none if the current revision is another one.
func (s *Server) historyRows(base table.Revision) []table.Row {
	var out []table.Row
	s.Control.Inspect(func(a *agent.Agent, _ clock.Instant) {
		if current, revision := a.Config(); revision != 0 && revision == base {
			out = []table.Row{{Key: table.HistoryKey(revision), Config: &current}}
		}
	})
	return out
}

// excessHistory returns the keys of the oldest history rows that must be deleted when a
// number of rows is added.
func (s *Server) excessHistory(added int) []table.Key {
	var out []table.Key
	s.Control.Inspect(func(a *agent.Agent, _ clock.Instant) {
		rows := a.Rows(table.HistoryPrefix)
		for _, row := range rows[:max(0, min(len(rows), len(rows)+added-maxHistoryEntries))] {
			out = append(out, row.Key)
		}
	})
	return out
}

func (s *Server) history(*http.Request) (any, error) {
	out := operator.History{Entries: []operator.ConfigDocument{}}
	s.Control.Inspect(func(a *agent.Agent, _ clock.Instant) {
		if current, revision := a.Config(); revision != 0 {
			out.Entries = append(out.Entries, operator.ConfigDocument{Revision: revision, Config: current})
		}
		rows := a.Rows(table.HistoryPrefix)
		for i := len(rows) - 1; i >= 0; i-- {
			out.Entries = append(out.Entries, operator.ConfigDocument{Revision: historyRevision(rows[i].Key), Config: *rows[i].Config})
		}
	})
	return out, nil
}

// historyRevision returns the revision in the key of a history row.
func historyRevision(k table.Key) table.Revision {
	n, err := strconv.ParseUint(strings.TrimPrefix(string(k), string(table.HistoryPrefix)), 10, 64)
	if err != nil {
		return 0
	}
	return table.Revision(n)
}

// configInForce returns the hosts on which a revision of the configuration is in force, and
// those on which it is not yet. Ended hosts are left out.
func (s *Server) configInForce(revision table.Revision) (inForce, missing []id.Host) {
	s.Control.Inspect(func(a *agent.Agent, now clock.Instant) {
		for _, h := range a.Hosts(now) {
			switch {
			case h.Row.State == table.HostEnded:
			case h.ConfigRevision >= revision:
				inForce = append(inForce, h.Row.ID)
			default:
				missing = append(missing, h.Row.ID)
			}
		}
	})
	return inForce, missing
}
