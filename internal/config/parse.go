package config

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/tailscale/hujson"
)

// Problem is one fault of a file, with what to do about it.
type Problem struct {
	file   string
	line   int
	field  string
	text   string
	remedy string
}

// Line returns the line of the file, counted from 1.
func (p Problem) Line() int { return p.line }

// Field returns the path of the field, such as "teams[2].rate".
func (p Problem) Field() string { return p.field }

// String returns the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s; %s", p.file, p.line, p.field, p.text, p.remedy)
}

// ProblemsError is every fault found in one pass over a file.
type ProblemsError []Problem

// Error implements error.
func (p ProblemsError) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// reader walks a parsed file against the Go type it must fill.
type reader struct {
	file     string
	source   []byte
	lines    map[string]int
	problems ProblemsError
}

func (r *reader) report(field, text, remedy string) {
	r.problems = append(r.problems, Problem{
		file: r.file, line: r.lineOf(field), field: field, text: text, remedy: remedy,
	})
}

// lineOf returns the line of a field, or of its nearest enclosing value.
func (r *reader) lineOf(field string) int {
	for {
		if line, ok := r.lines[field]; ok {
			return line
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			return 1
		}
		field = field[:cut]
	}
}

// Read fills out from JSON with comments and reports every fault of form.
// The returned lines tell where each field stands, for later checks.
func read(file string, source []byte, out any) *reader {
	r := &reader{file: file, source: source, lines: make(map[string]int)}
	value, err := hujson.Parse(source)
	if err != nil {
		r.report("", err.Error(), "correct the JSON")
		return r
	}
	r.walk(&value, reflect.TypeOf(out).Elem(), "")
	if len(r.problems) > 0 {
		return r
	}
	value.Standardize()
	if err := json.Unmarshal(value.Pack(), out); err != nil {
		r.report("", err.Error(), "correct the value")
	}
	return r
}

// ReadSettings fills out from a file of JSON with comments and returns every
// fault of form as ProblemsError.
func ReadSettings(file string, source []byte, out any) error {
	if r := read(file, source, out); len(r.problems) > 0 {
		return r.problems
	}
	return nil
}

var textType = reflect.TypeFor[encoding.TextUnmarshaler]()

func (r *reader) walk(v *hujson.Value, t reflect.Type, path string) {
	r.lines[path] = 1 + bytes.Count(r.source[:v.StartOffset], []byte("\n"))
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(textType) {
		r.text(v, t, path)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		r.object(v, t, path)
	case reflect.Slice:
		r.array(v, t, path)
	default:
		r.literal(v, t, path)
	}
}

func (r *reader) text(v *hujson.Value, t reflect.Type, path string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		r.report(path, "not a string", "write it as text, such as \"1.5s\"")
		return
	}
	target := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if err := target.UnmarshalText([]byte(literal.String())); err != nil {
		r.report(path, err.Error(), "write it as text, such as \"1.5s\"")
	}
}

func (r *reader) literal(v *hujson.Value, t reflect.Type, path string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		r.report(path, "not a single value", "write a "+kindName(t))
		return
	}
	target := reflect.New(t).Interface()
	if err := json.Unmarshal(literal, target); err != nil || literal.Kind() == 'n' {
		r.report(path, "not a "+kindName(t), "write a "+kindName(t))
	}
}

func (r *reader) array(v *hujson.Value, t reflect.Type, path string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		r.report(path, "not a list", "write a list in brackets")
		return
	}
	for i := range array.Elements {
		r.walk(&array.Elements[i], t.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (r *reader) object(v *hujson.Value, t reflect.Type, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		r.report(path, "not an object", "write an object in braces")
		return
	}
	fields := fieldsOf(t)
	seen := make(map[string]bool)
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		field := strings.TrimPrefix(path+"."+name, ".")
		r.lines[field] = 1 + bytes.Count(r.source[:member.Name.StartOffset], []byte("\n"))
		if seen[name] {
			r.report(field, "given twice", "keep one of them")
		}
		seen[name] = true
		ft, known := fields[name]
		if !known {
			r.report(field, "unknown field", "use one of "+strings.Join(sortedNames(fields), ", "))
			continue
		}
		r.walk(&member.Value, ft, field)
	}
}

func fieldsOf(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type)
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = t.Field(i).Type
		}
	}
	return fields
}

func sortedNames(fields map[string]reflect.Type) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func kindName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Uint64:
		return "whole number"
	default:
		return "number"
	}
}
