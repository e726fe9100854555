package config

import (
	"errors"
	"fmt"
	"strings"
)

// ErrInvalid is the error that every FieldError matches.
var ErrInvalid = errors.New("invalid configuration")

// FieldError describes an invalid field and the expected value.
type FieldError struct {
	Field string
	Want  string
	Got   string
}

// Error names the field, the expected value and the actual one.
func (e FieldError) Error() string {
	return fmt.Sprintf("%s: want %s, got %s", e.Field, e.Want, e.Got)
}

// Is makes every FieldError match ErrInvalid.
func (e FieldError) Is(target error) bool { return target == ErrInvalid }

// CheckReferences returns one error for each duplicate identifier or path prefix,
// reserved path prefix, client block without a prefix and reference to a missing class
// in c. The decoder checks everything else.
func (c Config) CheckReferences() []error {
	var errs []error
	accounts := uniqueValues{kind: "account id"}
	for i, a := range c.Accounts {
		errs = accounts.add(errs, fmt.Sprintf("accounts[%d].id", i), string(a.ID))
	}
	classes := uniqueValues{kind: "class id"}
	for i, cl := range c.Classes {
		errs = classes.add(errs, fmt.Sprintf("classes[%d].id", i), cl.ID)
	}
	routes := uniqueValues{kind: "route id"}
	prefixes := uniqueValues{kind: "path prefix"}
	for i, r := range c.Routes {
		errs = routes.add(errs, fmt.Sprintf("routes[%d].id", i), string(r.ID))
		errs = prefixes.add(errs, fmt.Sprintf("routes[%d].path_prefix", i), r.PathPrefix)
		if !classes.seen[r.Class] {
			errs = append(errs, FieldError{fmt.Sprintf("routes[%d].class", i), "the id of a class", fmt.Sprintf("%q", r.Class)})
		}
		if strings.HasPrefix(r.PathPrefix, ReservedPrefix) {
			errs = append(errs, FieldError{fmt.Sprintf("routes[%d].path_prefix", i), "a prefix outside " + ReservedPrefix, fmt.Sprintf("%q", r.PathPrefix)})
		}
	}
	for i, e := range c.ClientBlocks {
		if !e.Prefix.IsValid() {
			errs = append(errs, FieldError{fmt.Sprintf("client_blocks[%d].prefix", i), "an address block such as 198.51.100.0/24", "nothing"})
		}
	}
	return errs
}

// ReservedPrefix is the path prefix of the system's own interface.
const ReservedPrefix = "/celerypin/"

// uniqueValues finds values that occur more than once.
type uniqueValues struct {
	kind string
	seen map[string]bool
}

func (u *uniqueValues) add(errs []error, field, value string) []error {
	if u.seen == nil {
		u.seen = map[string]bool{}
	}
	if u.seen[value] {
		return append(errs, FieldError{field, "each " + u.kind + " once", fmt.Sprintf("%q again", value)})
	}
	u.seen[value] = true
	return errs
}
