package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"celerypin.example/celerypin/internal/protocol/caller"
	"celerypin.example/celerypin/pkg/coordination/admit"
	"celerypin.example/celerypin/pkg/state/id"
)

// maxAnswer is the largest answer of a look-up that is read, in bytes.
const maxAnswer = 1 << 20

// LookupRequest is a look-up as a caller sends it. Key, Region and Client may be empty.
type LookupRequest struct {
	Address string
	Key     string
	Region  id.Region
	// Client spreads callers over hosts; the caller's address is used without it.
	Client string
}

// LookUp asks the host at an address which hosts to use. A refusal is returned
// as an *admit.Refusal.
func LookUp(ctx context.Context, r LookupRequest) (caller.Lookup, error) {
	return LookUpWith(ctx, http.DefaultClient, r)
}

// LookUpWith is LookUp with the given client.
func LookUpWith(ctx context.Context, client *http.Client, r LookupRequest) (caller.Lookup, error) {
	query := url.Values{}
	if r.Region != "" {
		query.Set("region", string(r.Region))
	}
	if r.Client != "" {
		query.Set("client", r.Client)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.Address+caller.LookupPath+"?"+query.Encode(), nil)
	if err != nil {
		return caller.Lookup{}, err
	}
	if r.Key != "" {
		request.Header.Set(caller.KeyHeader, "Bearer "+r.Key)
	}
	response, err := client.Do(request)
	if err != nil {
		return caller.Lookup{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return caller.Lookup{}, err
	}
	if response.StatusCode != http.StatusOK {
		return caller.Lookup{}, refusalError(response.StatusCode, data)
	}
	return caller.LookupCodec.Decode(data)
}

func refusalError(status int, data []byte) error {
	body, err := caller.RefusalCodec.Decode(data)
	if err != nil {
		return fmt.Errorf("status %d: %w", status, err)
	}
	return &admit.Refusal{Outcome: body.Outcome, Reason: body.Reason, Detail: body.Detail}
}
