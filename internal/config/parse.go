package config

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"sort"
	"strings"

	"github.com/tailscale/hujson"
)

// Problem is an error in a file, with the suggested correction.
type Problem struct {
	file   string
	line   int
	field  string
	text   string
	remedy string
}

// Line returns the line number in the file, starting at 1.
func (p Problem) Line() int { return p.line }

// Field returns the path of the field, such as "teams[2].rate".
func (p Problem) Field() string { return p.field }

// String returns the problem on one line. A syntax error names no field.
func (p Problem) String() string {
	place := fmt.Sprintf("%s:%d: ", p.file, p.line)
	if p.field != "" {
		place += p.field + ": "
	}
	return place + p.text + "; " + p.remedy
}

// ProblemsError holds all problems found in one pass over a file.
type ProblemsError []Problem

// Error implements error.
func (p ProblemsError) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// parser checks a parsed file against the Go type that it is decoded into.
type parser struct {
	file     string
	source   []byte
	lines    map[string]int
	problems ProblemsError
	// settings is set for the settings of a process, which templates render: fields that
	// are null are ignored, and durations may be a number with its unit.
	settings bool
}

func (p *parser) report(field, text, remedy string) {
	p.problems = append(p.problems, Problem{
		file: p.file, line: p.lineOf(field), field: field, text: text, remedy: remedy,
	})
}

// lineOf returns the line of a field, or of the nearest enclosing value.
func (p *parser) lineOf(field string) int {
	for {
		if line, ok := p.lines[field]; ok {
			return line
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			return 1
		}
		field = field[:cut]
	}
}

// parse decodes JSON with comments into out and reports all syntax and type
// errors. The returned parser has the line of each field for later checks.
func parse(file string, source []byte, out any, settings bool) *parser {
	p := &parser{file: file, source: source, lines: make(map[string]int), settings: settings}
	value, err := hujson.Parse(source)
	if err != nil {
		p.syntaxError(err)
		return p
	}
	p.walk(&value, reflect.TypeOf(out).Elem(), "")
	if len(p.problems) > 0 {
		return p
	}
	value.Standardize()
	if err := json.Unmarshal(value.Pack(), out); err != nil {
		p.report("", err.Error(), "correct the value")
	}
	return p
}

// placeholderStart begins a placeholder or a section of a settings template. It occurs in
// no valid JSON outside of strings and comments.
const placeholderStart = "{{"

// syntaxError reports an error of hujson.Parse with the line that it names.
func (p *parser) syntaxError(err error) {
	var line, column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); scanErr != nil {
		p.report("", err.Error(), "correct the JSON")
		return
	}
	problem := Problem{file: p.file, line: line, text: fmt.Sprintf("column %d: %v", column, errors.Unwrap(err)), remedy: "correct the JSON"}
	text := strings.Split(string(p.source), "\n")[line-1]
	if before, after, found := strings.Cut(text, placeholderStart); found {
		name, _, _ := strings.Cut(after, "}}")
		problem.text = fmt.Sprintf("column %d: the placeholder %q of the template has not been filled in", len(before)+1, placeholderStart+name+"}}")
		problem.remedy = "check the program that renders the settings"
	}
	p.problems = append(p.problems, problem)
}

// ReadSettings decodes a file of JSON with comments into out. A field that is null
// counts as absent: templates render null for what the platform does not state.
// ReadSettings returns all syntax and type errors as a ProblemsError.
func ReadSettings(file string, source []byte, out any) error {
	if p := parse(file, source, out, true); len(p.problems) > 0 {
		return p.problems
	}
	return nil
}

var textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()

func (p *parser) walk(v *hujson.Value, t reflect.Type, path string) {
	p.lines[path] = 1 + bytes.Count(p.source[:v.StartOffset], []byte("\n"))
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(textUnmarshalerType) {
		p.text(v, t, path)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		p.object(v, t, path)
	case reflect.Slice:
		p.array(v, t, path)
	default:
		p.literal(v, t, path)
	}
}

func (p *parser) text(v *hujson.Value, t reflect.Type, path string) {
	if number, ok := reflect.New(t).Interface().(json.Unmarshaler); ok && p.settings && v.Value.Kind() == '{' {
		standard := v.Clone()
		standard.Standardize()
		if err := number.UnmarshalJSON(standard.Pack()); err != nil {
			p.report(path, err.Error(), "write a number with its unit such as {\"ms\": 1500}")
		}
		return
	}
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		p.report(path, "not a string", "write a string such as \"1.5s\"")
		return
	}
	target := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if err := target.UnmarshalText([]byte(literal.String())); err != nil {
		p.report(path, err.Error(), "write a string such as \"1.5s\"")
	}
}

func (p *parser) literal(v *hujson.Value, t reflect.Type, path string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		p.report(path, "not a scalar value", "write a "+typeName(t))
		return
	}
	target := reflect.New(t).Interface()
	if err := json.Unmarshal(literal, target); err != nil || literal.Kind() == 'n' {
		p.report(path, "not a "+typeName(t), "write a "+typeName(t))
	}
}

func (p *parser) array(v *hujson.Value, t reflect.Type, path string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		p.report(path, "not a list", "write a list in brackets")
		return
	}
	for i := range array.Elements {
		p.walk(&array.Elements[i], t.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (p *parser) object(v *hujson.Value, t reflect.Type, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		p.report(path, "not an object", "write an object in braces")
		return
	}
	fields := fieldsOf(t)
	seen := make(map[string]bool)
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		field := strings.TrimPrefix(path+"."+name, ".")
		p.lines[field] = 1 + bytes.Count(p.source[:member.Name.StartOffset], []byte("\n"))
		if seen[name] {
			p.report(field, "duplicate field", "remove one of them")
		}
		seen[name] = true
		ft, known := fields[name]
		if !known {
			p.report(field, "unknown field", "use one of "+strings.Join(sortedNames(fields), ", "))
			continue
		}
		if p.settings && isNull(*member) {
			continue
		}
		p.walk(&member.Value, ft, field)
	}
	if p.settings {
		object.Members = slices.DeleteFunc(object.Members, isNull)
	}
}

func isNull(m hujson.ObjectMember) bool {
	literal, ok := m.Value.Value.(hujson.Literal)
	return ok && literal.Kind() == 'n'
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

func typeName(t reflect.Type) string {
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
