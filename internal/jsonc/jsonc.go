// Package jsonc decodes JSON with comments into structs. It rejects unknown and
// duplicate fields, checks validate tags and reports each violation with its line
// and field path. The settings and the manifest are decoded by it.
package jsonc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// FieldError describes one violation in a document.
type FieldError struct {
	File    string // file name of the document, used in messages only
	Line    int    // 1-based
	Field   string // path, for example services[0].name
	Problem string // for example "is required"
}

// Error formats the violation as file:line: field: problem.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Problem)
}

// Errors lists the violations in a document in the order in which they were found.
type Errors []*FieldError

// Error returns the violations, one per line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, fe := range e {
		lines[i] = fe.Error()
	}
	return strings.Join(lines, "\n")
}

// Document is a parsed document. It maps field paths to lines and collects
// violations.
type Document struct {
	file string
	data []byte
	root hujson.Value
	errs Errors
}

// Decode parses data into dst, which must be a pointer to a struct. It checks
// for unknown and duplicate fields, then for a type mismatch, then the validate tags,
// and returns the violations of the first failed check as Errors. A syntax error is
// not returned as Errors.
func Decode(file string, data []byte, dst any) (*Document, error) {
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, errors.Wrapf(err, "parse %s", file)
	}
	d := &Document{file: file, data: data, root: root}
	d.checkFields(&d.root, dst)
	if len(d.errs) > 0 {
		return nil, d.errs
	}
	std, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return nil, errors.Wrapf(err, "parse %s", file)
	}
	if err := json.Unmarshal(std, dst); err != nil {
		return nil, d.typeError(err)
	}
	d.validate(dst)
	return d, d.Err()
}

// Reject records a violation of the value at the path field.
func (d *Document) Reject(field, format string, args ...any) {
	d.errs = append(d.errs, &FieldError{
		File:    d.file,
		Line:    d.Line(field),
		Field:   field,
		Problem: fmt.Sprintf(format, args...),
	})
}

// Err returns the recorded violations as Errors, or nil if there are none.
func (d *Document) Err() error {
	if len(d.errs) == 0 {
		return nil
	}
	return d.errs
}

func (d *Document) typeError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if !errors.As(err, &typeErr) {
		return errors.Wrapf(err, "decode %s", d.file)
	}
	problem := fmt.Sprintf("a %s cannot be read as %s", typeErr.Value, typeErr.Type)
	return Errors{{File: d.file, Line: d.lineAt(int(typeErr.Offset)), Field: typeErr.Field, Problem: problem}}
}

func (d *Document) validate(dst any) {
	err := structValidator.Struct(dst)
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) {
		return
	}
	for _, fe := range violations {
		_, field, _ := strings.Cut(fe.Namespace(), ".")
		d.Reject(field, "%s", problemText(fe))
	}
}

func problemText(fe validator.FieldError) string {
	if fe.Tag() == "required" {
		return "is required"
	}
	violated := fe.Tag()
	if fe.Param() != "" {
		violated += "=" + fe.Param()
	}
	return fmt.Sprintf("value %v violates %s", fe.Value(), violated)
}

func (d *Document) lineAt(offset int) int {
	if offset > len(d.data) {
		offset = len(d.data)
	}
	return 1 + bytes.Count(d.data[:offset], []byte{'\n'})
}

// Line returns the 1-based line of the value at the path field, or of its closest
// ancestor in the document.
func (d *Document) Line(field string) int {
	v := &d.root
	for _, step := range splitPath(field) {
		next := child(v, step)
		if next == nil {
			break
		}
		v = next
	}
	return d.lineAt(v.StartOffset)
}

func splitPath(field string) []string {
	field = strings.ReplaceAll(field, "[", ".")
	field = strings.ReplaceAll(field, "]", "")
	return strings.Split(field, ".")
}

func child(v *hujson.Value, step string) *hujson.Value {
	switch c := v.Value.(type) {
	case *hujson.Object:
		for i := range c.Members {
			if memberName(&c.Members[i]) == step {
				return &c.Members[i].Value
			}
		}
	case *hujson.Array:
		i, err := strconv.Atoi(step)
		if err == nil && i >= 0 && i < len(c.Elements) {
			return &c.Elements[i]
		}
	}
	return nil
}

func memberName(m *hujson.ObjectMember) string {
	lit, ok := m.Name.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	return lit.String()
}
