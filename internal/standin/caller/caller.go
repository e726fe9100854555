// Package caller is a stand-in of callers: it looks up hosts, keeps the answers,
// sends reads, swaps and uploads, and records what became of each, as a
// witness that is independent of the path.
package caller

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/internal/protocol/caller"
	"celerypin.example/celerypin/internal/protocol/codec"
	"celerypin.example/celerypin/internal/standin/upstream"
	transport "celerypin.example/celerypin/internal/transport/caller"
	"celerypin.example/celerypin/pkg/coordination/admit"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
)

// Kind is a kind of work.
type Kind string

// Kinds of work.
const (
	Read   Kind = "read"
	Once   Kind = "once"
	Upload Kind = "upload"
)

// Result is what became of a request, as the caller saw it.
type Result string

// Results of a request.
const (
	Served         Result = "served"
	RefusedNotRun  Result = "refused_not_run"
	OutcomeUnknown Result = "outcome_unknown"
	// Unreached means that no host took the request.
	Unreached Result = "unreached"
)

// Record is what a caller remembers of one request.
type Record struct {
	Account id.Account
	Kind    Kind
	Mark    string
	Request id.Request
	Start   clock.Instant
	// Sent is when the attempt began that was answered.
	Sent   clock.Instant
	End    clock.Instant
	Result Result
	Reason admit.Reason
	// Crossed tells that the answer was not whole, or belongs to another request.
	Crossed bool
}

// Profile is what a caller does.
type Profile struct {
	Name    string
	Account id.Account
	Key     string
	Region  id.Region
	// Entries are addresses of hosts to begin with.
	Entries []string
	// Rate is the number of requests per second.
	Rate float64
	// Paths are the path prefixes of the kinds of work.
	Paths map[Kind]string
	// UploadBytes is the size of an upload.
	UploadBytes int
	// OnceShare and UploadShare are the parts of the requests that are not reads.
	OnceShare, UploadShare float64
}

// Limits of one caller.
const (
	maxOutstanding = 256
	requestTimeout = 8 * time.Second
	maxAttempts    = 3
)

// Caller sends requests at the profile's rate, whether or not earlier ones
// have been answered.
type Caller struct {
	profile Profile
	clock   clock.Clock
	client  *http.Client
	serial  atomic.Uint64

	mu      sync.Mutex
	records []Record
	hosts   []string
	keep    clock.Instant
}

// New returns a caller.
func New(p Profile, c clock.Clock) *Caller {
	dialer := &net.Dialer{Timeout: time.Second}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Second, DisableCompression: true}
	return &Caller{profile: p, clock: c, client: &http.Client{Transport: transport}}
}

// Run sends requests until ctx ends, and waits for their answers.
func (c *Caller) Run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	var requests sync.WaitGroup
	free := make(chan struct{}, maxOutstanding)
	next := c.clock.Now()
	for {
		next = next.Add(time.Duration(rand.ExpFloat64() / c.profile.Rate * float64(time.Second)))
		if !c.clock.Sleep(ctx, next.Sub(c.clock.Now())) {
			break
		}
		free <- struct{}{}
		due := next
		requests.Go(func() {
			c.one(context.WithoutCancel(ctx), due)
			<-free
		})
	}
	requests.Wait()
}

// Records returns what became of all requests.
func (c *Caller) Records() []Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Record(nil), c.records...)
}

func (c *Caller) kind() Kind {
	point := rand.Float64()
	switch {
	case point < c.profile.OnceShare:
		return Once
	case point < c.profile.OnceShare+c.profile.UploadShare:
		return Upload
	default:
		return Read
	}
}

// one sends one request; its latency counts from when it was due.
func (c *Caller) one(ctx context.Context, due clock.Instant) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	mark := c.profile.Name + "-" + strconv.FormatUint(c.serial.Add(1), 10)
	r := Record{Account: c.profile.Account, Kind: c.kind(), Mark: mark, Start: due}
	if r.Kind != Read {
		r.Request = id.Request(mark)
	}
	body := c.body(r)
	for attempt := range maxAttempts {
		if !c.attempt(ctx, &r, body, attempt) {
			break
		}
	}
	r.End = c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records = append(c.records, r)
}

func (c *Caller) body(r Record) []byte {
	switch r.Kind {
	case Once:
		return []byte("once " + r.Mark)
	case Upload:
		return bytes.Repeat([]byte(r.Mark+"\n"), c.profile.UploadBytes/(len(r.Mark)+1)+1)
	default:
		return nil
	}
}

// attempt sends the request to the host of choice, or to a later one in the
// answer of the look-up. It tells whether another host should be tried.
func (c *Caller) attempt(ctx context.Context, r *Record, body []byte, attempt int) bool {
	address, ok := c.address(ctx, attempt)
	if !ok {
		r.Result = Unreached
		return true
	}
	r.Sent = c.clock.Now()
	response, err := c.send(ctx, address, r, body)
	if err != nil {
		c.forget()
		r.Result = OutcomeUnknown
		return true
	}
	defer response.Body.Close()
	return c.judge(r, response, body)
}

func (c *Caller) send(ctx context.Context, address string, r *Record, body []byte) (*http.Response, error) {
	method := http.MethodGet
	var reader io.Reader
	if body != nil {
		method, reader = http.MethodPost, bytes.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+c.profile.Paths[r.Kind]+r.Mark, reader)
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.Header.Set(caller.KeyHeader, "Bearer "+c.profile.Key)
	request.Header.Set(upstream.EchoHeader, r.Mark)
	if r.Request != "" {
		request.Header.Set(caller.RequestIDHeader, string(r.Request))
	}
	return c.client.Do(request)
}

// judge classifies an answer and tells whether another host should be tried.
func (c *Caller) judge(r *Record, response *http.Response, body []byte) bool {
	data, err := io.ReadAll(response.Body)
	if err != nil {
		r.Result = OutcomeUnknown
		return true
	}
	switch response.Header.Get(caller.OutcomeHeader) {
	case string(admit.NotRun):
		r.Reason = admit.Reason(response.Header.Get(caller.ReasonHeader))
		if r.Result != OutcomeUnknown {
			r.Result = RefusedNotRun
		}
		return r.Reason == admit.WithdrawalsUnknown || r.Reason == admit.ShareLapsed
	case string(admit.OutcomeUnknown):
		r.Reason = admit.Reason(response.Header.Get(caller.ReasonHeader))
		r.Result = OutcomeUnknown
		return r.Reason != admit.AlreadyTaken
	}
	r.Result = Served
	r.Crossed = !c.own(r, data, body)
	return false
}

// own tells whether an answer is whole and belongs to the request.
func (c *Caller) own(r *Record, data, body []byte) bool {
	answer, err := codec.JSON[upstream.Answer]{}.Decode(data)
	if err != nil {
		return false
	}
	sum := sha256.Sum256(body)
	return answer.Mark == r.Mark && answer.Request == r.Request &&
		answer.Bytes == int64(len(body)) && answer.SHA256 == hex.EncodeToString(sum[:])
}

// address returns the host to use, by a look-up whose answer is kept.
func (c *Caller) address(ctx context.Context, attempt int) (string, bool) {
	c.mu.Lock()
	hosts, fresh := c.hosts, c.clock.Now() < c.keep
	c.mu.Unlock()
	if !fresh || len(hosts) == 0 {
		hosts = c.lookUp(ctx)
	}
	if len(hosts) == 0 {
		return "", false
	}
	return hosts[attempt%len(hosts)], true
}

func (c *Caller) lookUp(ctx context.Context) []string {
	first := rand.IntN(len(c.profile.Entries))
	for i := range c.profile.Entries {
		answer, err := transport.LookUpWith(ctx, c.client, transport.LookupRequest{
			Address: c.profile.Entries[(first+i)%len(c.profile.Entries)],
			Key:     c.profile.Key, Region: c.profile.Region, Client: c.profile.Name,
		})
		if err != nil {
			continue
		}
		hosts := make([]string, 0, len(answer.Hosts))
		for _, h := range answer.Hosts {
			hosts = append(hosts, h.Address)
		}
		c.mu.Lock()
		c.hosts, c.keep = hosts, c.clock.Now().Add(time.Duration(answer.TTLMS)*time.Millisecond)
		c.mu.Unlock()
		return hosts
	}
	return nil
}

// forget drops the kept answer of the look-up, after a host gave no answer.
func (c *Caller) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keep = 0
}

// String names the caller.
func (c *Caller) String() string { return fmt.Sprintf("%s (%s)", c.profile.Name, c.profile.Account) }
