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

// maxLookupBytes is the largest response to a look-up that is read, in bytes.
const maxLookupBytes = 1 << 20

// LookupRequest is the look-up of a caller. Key, Region and Client may be empty.
type LookupRequest struct {
	Address string
	Key     string
	Region  id.Region
	// Client determines which hosts the caller is spread to. It defaults to the caller's
	// address.
	Client string
}

// LookUp asks the host at r.Address which hosts to use. It returns a refusal as an
// *admit.Refusal.
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
	data, err := io.ReadAll(io.LimitReader(response.Body, maxLookupBytes))
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
