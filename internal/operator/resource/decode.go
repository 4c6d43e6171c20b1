package resource

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/rotisserie/eris"

	"hickoryrock/internal/operator/guard"
	"hickoryrock/internal/platform/objects"
)

const (
	// MaxObjectBytes is the size limit of one object in the platform.
	MaxObjectBytes = 1 << 20
	// MaxFileBytes is the size limit of one YAML file.
	MaxFileBytes = 16 << 20
)

type (
	// Document is one resource in a file.
	Document struct {
		Resource Resource
		// Version is the platform version that the operator read; nil when the
		// file gives none, 0 when the resource must not exist.
		Version *uint64
		// Line is the document's first line.
		Line int
	}

	// envelope is the outer structure of a YAML document.
	envelope struct {
		Kind    string   `yaml:"kind"`
		Name    string   `yaml:"name"`
		Version *uint64  `yaml:"version"`
		Spec    ast.Node `yaml:"spec"`
	}
)

// New returns an empty resource of a kind, or nil when the kind is unknown.
func New(k objects.Key) Resource {
	switch k.Kind {
	case KindService:
		return &Service{Name: k.Name}
	case KindModelDeployment:
		return &ModelDeployment{Name: k.Name}
	case KindWorkspace:
		return &Workspace{Name: k.Name}
	case KindTrafficPolicy:
		return &TrafficPolicy{Name: k.Name}
	}
	return nil
}

// Decode decodes and validates a resource from the platform's JSON. Unknown
// fields are errors.
func Decode(kind string, data []byte) (Resource, error) {
	r := New(objects.Key{Kind: kind})
	if r == nil {
		return nil, eris.Errorf("unknown kind %q", kind)
	}
	if len(data) > MaxObjectBytes {
		return nil, eris.Errorf("%s of %d bytes is over the limit of %d", kind, len(data), MaxObjectBytes)
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(r); err != nil {
		return nil, eris.Wrapf(err, "decode %s", kind)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, eris.Errorf("decode %s: data after the value", kind)
	}
	if err := r.Validate(); err != nil {
		return nil, err
	}
	return r, nil
}

// Encode returns a resource as the platform's JSON.
func Encode(r Resource) (json.RawMessage, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, eris.Wrap(err, "encode resource")
	}
	if len(data) > MaxObjectBytes {
		return nil, eris.Errorf("%s %q of %d bytes is over the platform's limit of %d",
			r.Key().Kind, r.Key().Name, len(data), MaxObjectBytes)
	}
	return data, nil
}

// DecodeFile decodes and validates every YAML document in a file.
func DecodeFile(data []byte) ([]Document, error) {
	if len(data) > MaxFileBytes {
		return nil, eris.Errorf("file of %d bytes is over the limit of %d", len(data), MaxFileBytes)
	}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, eris.Wrap(err, "parse YAML")
	}
	var docs []Document
	seen := map[objects.Key]int{}
	for _, d := range file.Docs {
		if d.Body == nil || d.Body.Type() == ast.NullType {
			continue
		}
		doc, err := decodeDocument(d.Body)
		if err != nil {
			return nil, err
		}
		k := doc.Resource.Key()
		if line, ok := seen[k]; ok {
			return nil, eris.Errorf("line %d: %s %q is already at line %d", doc.Line, k.Kind, k.Name, line)
		}
		seen[k] = doc.Line
		docs = append(docs, doc)
	}
	return docs, nil
}

// decodeDocument decodes one document; its errors contain line numbers.
func decodeDocument(body ast.Node) (Document, error) {
	line := lineOf(body)
	var e envelope
	if err := decodeNode(body, &e); err != nil {
		return Document{}, eris.Wrapf(err, "document at line %d", line)
	}
	k := objects.Key{Kind: e.Kind, Name: e.Name}
	r := New(k)
	if r == nil {
		field := FieldError{Path: "kind", Line: line, Given: formatValue(e.Kind), Allowed: fmt.Sprint(Kinds())}
		return Document{}, &InvalidError{Key: k, Fields: []FieldError{field}}
	}
	if e.Spec != nil && e.Spec.Type() != ast.NullType {
		if err := decodeNode(e.Spec, r); err != nil {
			return Document{}, eris.Wrapf(err, "%s %q at line %d", k.Kind, k.Name, line)
		}
	}
	if name := r.Key().Name; name != e.Name {
		field := FieldError{Path: "spec.name", Line: line, Given: formatValue(name), Allowed: "no name inside spec"}
		return Document{}, &InvalidError{Key: k, Fields: []FieldError{field}}
	}
	if err := r.Validate(); err != nil {
		return Document{}, addLines(err, body)
	}
	return Document{Resource: r, Version: e.Version, Line: line}, nil
}

// decodeNode decodes a node into v. The YAML library panics on some malformed
// nodes, such as a tag without a value.
func decodeNode(node ast.Node, v any) error {
	return guard.RecoverPanic(func() error { return yaml.NodeToValue(node, v, yaml.Strict()) })
}

// addLines sets the line of each field error to that of the field, or of its
// nearest parent that is present.
func addLines(err error, body ast.Node) error {
	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		return err
	}
	for i := range invalid.Fields {
		invalid.Fields[i].Line = findLine(body, invalid.Fields[i].Path)
	}
	return invalid
}

func findLine(body ast.Node, path string) int {
	for path != "" {
		if line, ok := lineAt(body, path); ok {
			return line
		}
		path = parentPath(path)
	}
	return lineOf(body)
}

func lineAt(body ast.Node, path string) (int, bool) {
	p, err := yaml.PathString("$." + path)
	if err != nil {
		return 0, false
	}
	n, err := p.FilterNode(body)
	if err != nil || n == nil {
		return 0, false
	}
	return lineOf(n), true
}

func parentPath(path string) string {
	for i := len(path) - 1; i > 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}

func lineOf(n ast.Node) int {
	t := n.GetToken()
	if t == nil || t.Position == nil {
		return 0
	}
	return t.Position.Line
}

// EncodeYAML returns a resource as a document that DecodeFile accepts. A version
// of 0 is left out.
func EncodeYAML(r Resource, version uint64) ([]byte, error) {
	data, err := yaml.Marshal(r)
	if err != nil {
		return nil, eris.Wrap(err, "encode resource as YAML")
	}
	var spec yaml.MapSlice
	if err := yaml.UnmarshalWithOptions(data, &spec, yaml.UseOrderedMap()); err != nil {
		return nil, eris.Wrap(err, "order the fields of a resource")
	}
	k := r.Key()
	doc := yaml.MapSlice{{Key: "kind", Value: k.Kind}, {Key: "name", Value: k.Name}}
	if version > 0 {
		doc = append(doc, yaml.MapItem{Key: "version", Value: version})
	}
	fields := make(yaml.MapSlice, 0, len(spec))
	for _, item := range spec {
		if item.Key != "name" {
			fields = append(fields, item)
		}
	}
	doc = append(doc, yaml.MapItem{Key: "spec", Value: fields})
	out, err := yaml.Marshal(doc)
	return out, eris.Wrap(err, "encode resource as YAML")
}
