package operator

import (
	"net/http"

	"celerypin.example/celerypin/internal/protocol/operator"
	"celerypin.example/celerypin/pkg/coordination/agent"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/key"
	"celerypin.example/celerypin/pkg/state/table"
)

func (s *Server) listKeys(*http.Request) (any, error) {
	list := operator.KeyList{Keys: []operator.KeyEntry{}}
	s.Control.Inspect(func(a *agent.Agent, _ clock.Instant) {
		for _, row := range a.Rows(table.KeyGrantPrefix) {
			list.Keys = append(list.Keys, operator.KeyEntry{Hash: row.KeyGrant.Hash.String(), Account: row.KeyGrant.Account, Withdrawn: row.KeyGrant.Withdrawn})
		}
	})
	return list, nil
}

func (s *Server) grantKey(r *http.Request) (any, error) {
	grant, err := decodeBody[operator.KeyGrant](r)
	if err != nil {
		return nil, err
	}
	hash := s.Hasher.Hash(grant.Key)
	row := table.Row{Key: table.KeyGrantKey(hash), KeyGrant: &key.Record{Hash: hash, Account: grant.Account}}
	revision, err := s.commitRow(r, row, 0)
	if err != nil {
		return nil, err
	}
	return operator.KeyGranted{Hash: hash.String(), Account: grant.Account, Revision: revision}, nil
}

func (s *Server) withdrawKey(r *http.Request) (any, error) {
	request, err := decodeBody[operator.KeyWithdraw](r)
	if err != nil {
		return nil, err
	}
	hash, err := s.hashOf(request)
	if err != nil {
		return nil, err
	}
	s.Control.Withdraw(hash)
	answer := operator.KeyWithdrawn{Hash: hash.String()}
	s.awaitCondition(r.Context(), func() bool {
		s.Control.Inspect(func(a *agent.Agent, _ clock.Instant) {
			withdrawal := a.KeyWithdrawal(hash)
			answer.InForce, answer.Missing, answer.Recorded = withdrawal.InForce, withdrawal.Missing, withdrawal.Recorded
		})
		return len(answer.Missing) == 0 && answer.Recorded
	})
	return answer, nil
}

func (s *Server) hashOf(request operator.KeyWithdraw) (key.Hash, error) {
	var hash key.Hash
	switch {
	case request.Key != "" && request.Hash == "":
		return s.Hasher.Hash(request.Key), nil
	case request.Key == "" && request.Hash != "":
		if err := hash.UnmarshalText([]byte(request.Hash)); err != nil {
			return hash, newAPIError(http.StatusBadRequest, operator.CodeInvalid, "hash: "+err.Error())
		}
		return hash, nil
	default:
		return hash, newAPIError(http.StatusBadRequest, operator.CodeInvalid, "want either key or hash")
	}
}
