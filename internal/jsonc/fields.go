package jsonc

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/tailscale/hujson"
)

var structValidator = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	return v
}

// jsonName returns the JSON name of a struct field.
func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "" {
		return f.Name
	}
	return name
}

func (d *Document) checkFields(v *hujson.Value, dst any) {
	d.checkValue(v, reflect.TypeOf(dst).Elem(), "")
}

// checkValue rejects unknown and duplicate object members in v, which is to be
// decoded into the Go type t.
func (d *Document) checkValue(v *hujson.Value, t reflect.Type, path string) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch c := v.Value.(type) {
	case *hujson.Object:
		d.checkObject(c, t, path)
	case *hujson.Array:
		if t.Kind() != reflect.Slice {
			return
		}
		for i := range c.Elements {
			d.checkValue(&c.Elements[i], t.Elem(), fmt.Sprintf("%s[%d]", path, i))
		}
	}
}

func (d *Document) checkObject(o *hujson.Object, typ reflect.Type, path string) {
	seen := make(map[string]bool, len(o.Members))
	for i := range o.Members {
		name := memberName(&o.Members[i])
		field := joinPath(path, name)
		if seen[name] {
			d.rejectAt(o.Members[i].Name.StartOffset, field, "duplicate field")
		}
		seen[name] = true
		fieldType, known := memberType(typ, name)
		if !known {
			d.rejectAt(o.Members[i].Name.StartOffset, field, "unknown field")
			continue
		}
		d.checkValue(&o.Members[i].Value, fieldType, field)
	}
}

func (d *Document) rejectAt(offset int, field, problem string) {
	d.errs = append(d.errs, &FieldError{File: d.file, Line: d.lineAt(offset), Field: field, Problem: problem})
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func memberType(t reflect.Type, name string) (reflect.Type, bool) {
	switch t.Kind() {
	case reflect.Map:
		return t.Elem(), true
	case reflect.Struct:
		for i := 0; i < t.NumField(); i++ {
			if jsonName(t.Field(i)) == name {
				return t.Field(i).Type, true
			}
		}
		return nil, false
	default:
		return t, true
	}
}
