package config

import (
	"sort"
	"strings"
	"time"

	"celerypin.example/celerypin/pkg/state/block"
	"celerypin.example/celerypin/pkg/state/id"
)

// CompiledRoute is a route joined with its class, in the form used on the path of a request.
type CompiledRoute struct {
	ID         id.Route
	Service    id.Service
	Prefix     string
	Timeout    time.Duration
	Idempotent bool
	Open       bool
	MaxBody    int64
}

// Compiled is the immutable form of a Config that requests are matched against.
type Compiled struct {
	routes   []CompiledRoute
	services map[id.Service]bool
	blocks   block.Table
}

// Compile joins routes with their classes and sorts them by length of path prefix,
// the longest first.
func Compile(c Config) Compiled {
	classes := make(map[string]Class, len(c.Classes))
	for _, cl := range c.Classes {
		classes[cl.ID] = cl
	}
	out := Compiled{services: map[id.Service]bool{}, blocks: block.New(c.ClientBlocks)}
	for _, r := range c.Routes {
		cl := classes[r.Class]
		out.services[r.Service] = true
		out.routes = append(out.routes, CompiledRoute{
			ID: r.ID, Service: r.Service, Prefix: r.PathPrefix, Open: r.Open,
			Timeout: cl.Deadline.Std(), Idempotent: cl.Idempotent, MaxBody: cl.MaxBody,
		})
	}
	sort.SliceStable(out.routes, func(i, j int) bool {
		return len(out.routes[i].Prefix) > len(out.routes[j].Prefix)
	})
	return out
}

// Match returns the route with the longest prefix of path.
func (c *Compiled) Match(path string) (*CompiledRoute, bool) {
	for i := range c.routes {
		if strings.HasPrefix(path, c.routes[i].Prefix) {
			return &c.routes[i], true
		}
	}
	return nil, false
}

// Serves reports whether a route leads to the service.
func (c *Compiled) Serves(s id.Service) bool { return c.services[s] }

// Blocks returns the table of client blocks.
func (c *Compiled) Blocks() block.Table { return c.blocks }
