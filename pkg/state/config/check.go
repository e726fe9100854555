package config

import (
	"errors"
	"fmt"
	"strings"
)

// ErrInvalid is the sentinel of every fault that Check reports.
var ErrInvalid = errors.New("invalid configuration")

// FieldError tells which field is wrong and what was expected.
type FieldError struct {
	Field string
	Want  string
	Got   string
}

// Error describes the field, the expectation and the value.
func (e FieldError) Error() string {
	return fmt.Sprintf("%s: want %s, got %s", e.Field, e.Want, e.Got)
}

// Is makes every FieldError match ErrInvalid.
func (e FieldError) Is(target error) bool { return target == ErrInvalid }

// CheckReferences returns one error for each reference or identity fault between
// the parts of c; checks of single fields are the decoder's work.
func (c Config) CheckReferences() []error {
	var faults []error
	accounts := uniqueness{kind: "account id"}
	for i, a := range c.Accounts {
		faults = accounts.add(faults, fmt.Sprintf("accounts[%d].id", i), string(a.ID))
	}
	classes := uniqueness{kind: "class id"}
	for i, cl := range c.Classes {
		faults = classes.add(faults, fmt.Sprintf("classes[%d].id", i), cl.ID)
	}
	routes := uniqueness{kind: "route id"}
	prefixes := uniqueness{kind: "path prefix"}
	for i, r := range c.Routes {
		faults = routes.add(faults, fmt.Sprintf("routes[%d].id", i), string(r.ID))
		faults = prefixes.add(faults, fmt.Sprintf("routes[%d].path_prefix", i), r.PathPrefix)
		if !classes.seen[r.Class] {
			faults = append(faults, FieldError{fmt.Sprintf("routes[%d].class", i), "the id of a class", fmt.Sprintf("%q", r.Class)})
		}
		if strings.HasPrefix(r.PathPrefix, ReservedPrefix) {
			faults = append(faults, FieldError{fmt.Sprintf("routes[%d].path_prefix", i), "a prefix outside " + ReservedPrefix, fmt.Sprintf("%q", r.PathPrefix)})
		}
	}
	for i, e := range c.ClientBlocks {
		if !e.Prefix.IsValid() {
			faults = append(faults, FieldError{fmt.Sprintf("client_blocks[%d].prefix", i), "an address block such as 198.51.100.0/24", "nothing"})
		}
	}
	return faults
}

// ReservedPrefix is the path under which the system's own interface lives.
const ReservedPrefix = "/celerypin/"

type uniqueness struct {
	kind string
	seen map[string]bool
}

func (u *uniqueness) add(faults []error, field, value string) []error {
	if u.seen == nil {
		u.seen = map[string]bool{}
	}
	if u.seen[value] {
		return append(faults, FieldError{field, "each " + u.kind + " once", fmt.Sprintf("%q again", value)})
	}
	u.seen[value] = true
	return faults
}
