package resource

import (
	"fmt"
	"strings"

	"hickoryrock/internal/platform/objects"
)

type (
	// FieldError describes the invalid value of one field.
	FieldError struct {
		// Path is the path of the field, such as spec.targets[0].address.
		Path string
		// Line is the field's line in the file; 0 when unknown.
		Line int
		// Given is the value of the field, formatted for display.
		Given string
		// Allowed describes the values that the field may have.
		Allowed string
	}

	// InvalidError lists every invalid field of one resource.
	InvalidError struct {
		Key    objects.Key
		Fields []FieldError
	}

	// validator collects the invalid fields of one resource.
	validator struct {
		fields []FieldError
	}
)

// Error implements error.
func (e FieldError) Error() string {
	line := ""
	if e.Line > 0 {
		line = fmt.Sprintf("line %d: ", e.Line)
	}
	return fmt.Sprintf("%s%s: given %s, allowed: %s", line, e.Path, e.Given, e.Allowed)
}

// Error implements error.
func (e *InvalidError) Error() string {
	parts := make([]string, 0, len(e.Fields))
	for _, f := range e.Fields {
		parts = append(parts, f.Error())
	}
	return fmt.Sprintf("%s %q is invalid: %s", e.Key.Kind, e.Key.Name, strings.Join(parts, "; "))
}

// check adds an error for the field unless ok is true.
func (v *validator) check(ok bool, path string, given any, allowed string) {
	if ok {
		return
	}
	v.fields = append(v.fields, FieldError{Path: path, Given: formatValue(given), Allowed: allowed})
}

// err returns an *InvalidError, or nil when every field is valid.
func (v *validator) err(k objects.Key) error {
	if len(v.fields) == 0 {
		return nil
	}
	return &InvalidError{Key: k, Fields: v.fields}
}

// formatValue formats a value for an error message; long values are truncated.
func formatValue(v any) string {
	const maxLength = 80
	s := fmt.Sprint(v)
	if t, ok := v.(string); ok {
		s = fmt.Sprintf("%q", t)
	}
	if len(s) > maxLength {
		s = s[:maxLength] + "..."
	}
	return s
}
