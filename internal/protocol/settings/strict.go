package settings

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"

	"celerypin.example/celerypin/pkg/state/config"
)

// ErrInvalid is the sentinel of all errors in a document.
var ErrInvalid = errors.New("invalid document")

// Fault is one error in a document: the field, what is expected of it and its value.
type Fault struct {
	File  string
	Field string
	Want  string
	Got   string
}

// Error describes the fault with its file and field, if it concerns one.
func (f Fault) Error() string {
	location := f.File
	if f.Field != "" {
		location += ": " + f.Field
	}
	return fmt.Sprintf("%s: want %s, got %s", location, f.Want, f.Got)
}

// Is makes a Fault match ErrInvalid.
func (f Fault) Is(target error) bool { return target == ErrInvalid }

var structValidator = newStructValidator()

func newStructValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return jsonName(f) })
	if err := v.RegisterValidation("listen", validListen); err != nil {
		panic(err)
	}
	return v
}

// validListen reports whether a field is an IP address with a port from 0 to 65535. Port
// 0 stands for any free one.
func validListen(field validator.FieldLevel) bool {
	host, port, err := net.SplitHostPort(field.Field().String())
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

// Decode decodes a JSON document of type T strictly. Unknown fields, wrong types and values
// out of range are faults; all of them are reported in one joined error. File is used in
// messages only.
func Decode[T any](file string, data []byte) (T, error) {
	var out T
	tree, err := parse(file, data)
	if err != nil {
		return out, err
	}
	walk := walker{file: file}
	walk.value("", tree, reflect.TypeFor[T]())
	pruned, err := json.Marshal(walk.pruneFaulty(tree))
	if err != nil {
		return out, Fault{file, "", "JSON", err.Error()}
	}
	if err := json.Unmarshal(pruned, &out); err != nil {
		return out, Fault{file, "", "a document of the documented shape", err.Error()}
	}
	faults := append(walk.faults, walk.dropReported(validate(file, out))...)
	return out, errors.Join(faults...)
}

func parse(file string, data []byte) (any, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var tree any
	if err := decoder.Decode(&tree); err != nil {
		line := 1 + bytes.Count(data[:syntaxErrorOffset(err, data)], []byte("\n"))
		return nil, Fault{file, fmt.Sprintf("line %d", line), "a JSON object", err.Error()}
	}
	if decoder.More() {
		return nil, Fault{file, "", "one JSON object", "more data after it"}
	}
	if _, ok := tree.(map[string]any); !ok {
		return nil, Fault{file, "", "a JSON object", describeValue(tree)}
	}
	return tree, nil
}

// syntaxErrorOffset returns the offset of a syntax error in data, or the length of data
// for any other error.
func syntaxErrorOffset(err error, data []byte) int {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return len(data)
	}
	return min(int(syntax.Offset), len(data))
}

// walker compares a parsed document with the Go type that it is decoded into.
type walker struct {
	file        string
	faults      []error
	faultyPaths []string
}

func (w *walker) fault(path, want string, got any) {
	w.faults = append(w.faults, Fault{w.file, path, want, describeFieldValue(path, got)})
	w.faultyPaths = append(w.faultyPaths, path)
}

func (w *walker) value(path string, v any, t reflect.Type) {
	if t.Kind() == reflect.Pointer {
		if v != nil {
			w.value(path, v, t.Elem())
		}
		return
	}
	if reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
		w.text(path, v, t)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		w.object(path, v, t)
	case reflect.Slice:
		w.list(path, v, t)
	case reflect.Map:
		w.mapping(path, v, t)
	default:
		w.scalar(path, v, t)
	}
}

func (w *walker) text(path string, v any, t reflect.Type) {
	s, ok := v.(string)
	if !ok {
		w.fault(path, expectedText(t), v)
		return
	}
	target := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if err := target.UnmarshalText([]byte(s)); err != nil {
		w.fault(path, expectedText(t), v)
	}
}

func expectedText(t reflect.Type) string {
	switch t.Name() {
	case "Duration":
		return `a duration such as "250ms"`
	case "Prefix":
		return "an address block such as 198.51.100.0/24"
	default:
		return "text of type " + strings.ToLower(t.Name())
	}
}

func (w *walker) object(path string, v any, t reflect.Type) {
	fields, ok := v.(map[string]any)
	if !ok {
		w.fault(path, "an object", v)
		return
	}
	known := map[string]reflect.Type{}
	for i := range t.NumField() {
		known[jsonName(t.Field(i))] = t.Field(i).Type
	}
	for _, name := range sortedKeys(fields) {
		field, exists := known[name]
		if !exists {
			w.fault(join(path, name), "one of "+strings.Join(sortedKeys(known), ", "), unquoted("an unknown field"))
			continue
		}
		w.value(join(path, name), fields[name], field)
	}
}

func (w *walker) mapping(path string, v any, t reflect.Type) {
	fields, ok := v.(map[string]any)
	if !ok {
		w.fault(path, "an object", v)
		return
	}
	for _, name := range sortedKeys(fields) {
		w.value(join(path, name), fields[name], t.Elem())
	}
}

func (w *walker) list(path string, v any, t reflect.Type) {
	items, ok := v.([]any)
	if !ok {
		w.fault(path, "a list", v)
		return
	}
	for i, item := range items {
		w.value(fmt.Sprintf("%s[%d]", path, i), item, t.Elem())
	}
}

func (w *walker) scalar(path string, v any, t reflect.Type) {
	data, err := json.Marshal(v)
	if err == nil && v != nil {
		err = json.Unmarshal(data, reflect.New(t).Interface())
	}
	if err != nil || v == nil {
		w.fault(path, kindName(t.Kind()), v)
	}
}

func kindName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	default:
		return "a whole number"
	}
}

// pruneFaulty returns the document without the faulty values.
func (w *walker) pruneFaulty(tree any) any { return prune("", tree, w.faultyPaths) }

func prune(path string, v any, faultyPaths []string) any {
	switch node := v.(type) {
	case map[string]any:
		out := map[string]any{}
		for name, child := range node {
			if p := join(path, name); !slices.Contains(faultyPaths, p) {
				out[name] = prune(p, child, faultyPaths)
			}
		}
		return out
	case []any:
		out := make([]any, len(node))
		for i, child := range node {
			if p := fmt.Sprintf("%s[%d]", path, i); !slices.Contains(faultyPaths, p) {
				out[i] = prune(p, child, faultyPaths)
			}
		}
		return out
	default:
		return v
	}
}

// dropReported removes the faults of fields that the walker has already reported.
func (w *walker) dropReported(faults []error) []error {
	return slices.DeleteFunc(faults, func(err error) bool {
		var f Fault
		return errors.As(err, &f) && slices.Contains(w.faultyPaths, f.Field)
	})
}

func validate(file string, v any) []error {
	var invalid validator.ValidationErrors
	if !errors.As(structValidator.Struct(v), &invalid) {
		return nil
	}
	var faults []error
	for _, e := range invalid {
		_, field, _ := strings.Cut(e.Namespace(), ".")
		faults = append(faults, Fault{file, field, expectation(e), describeFieldValue(field, e.Value())})
	}
	return faults
}

func expectation(e validator.FieldError) string {
	switch e.Tag() {
	case "required":
		return "a value"
	case "gt":
		return "more than " + defaultToZero(e.Param())
	case "gte":
		return "at least " + e.Param()
	case "lte":
		return "at most " + e.Param()
	case "min":
		return "at least " + e.Param() + " characters or items"
	case "oneof":
		return "one of " + strings.ReplaceAll(e.Param(), " ", ", ")
	case "startswith":
		return "text that starts with " + e.Param()
	case "listen":
		return "an IP address and a port such as 127.0.0.1:8100"
	case "hostname_port":
		return "an address such as 127.0.0.1:8100"
	case "url":
		return "a URL such as http://127.0.0.1:8000"
	default:
		return e.Tag()
	}
}

func defaultToZero(param string) string {
	if param == "" {
		return "0"
	}
	return param
}

// ReferenceFaults converts the errors about the references of a configuration into faults
// of a file.
func ReferenceFaults(file string, errs []error) []error {
	var out []error
	for _, err := range errs {
		var f config.FieldError
		if errors.As(err, &f) {
			out = append(out, Fault{file, f.Field, f.Want, f.Got})
		}
	}
	return out
}

// unquoted is text that describes a value and is not quoted in messages.
type unquoted string

// secretFields are the fields whose values never appear in messages.
var secretFields = []string{"fleet_secret", "operator_token", "key"}

func describeFieldValue(path string, v any) string {
	name := path[strings.LastIndex(path, ".")+1:]
	if text, ok := v.(string); ok && text != "" && slices.Contains(secretFields, name) {
		return fmt.Sprintf("%d characters", len(text))
	}
	return describeValue(v)
}

func describeValue(v any) string {
	switch value := v.(type) {
	case nil:
		return "nothing"
	case json.Number:
		return value.String()
	case unquoted:
		return string(value)
	case string:
		if value == "" {
			return "nothing"
		}
		return fmt.Sprintf("%q", value)
	case map[string]any:
		return "an object"
	case []any:
		return "a list"
	default:
		if reflected := reflect.ValueOf(v); reflected.Kind() == reflect.String {
			return describeValue(reflected.String())
		}
		return fmt.Sprint(value)
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
