package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"hickoryrock/internal/operator/resource"
	"hickoryrock/internal/platform/objects"
)

const (
	// readBackAttempts bounds the reads that resolve a delete whose reply was lost.
	readBackAttempts = 5
	readBackInterval = 300 * time.Millisecond
	// writeTimeout bounds one write, including the reads that determine its outcome.
	writeTimeout = 15 * time.Second

	resultCreated   = "created"
	resultChanged   = "changed"
	resultUnchanged = "unchanged"
	resultDeleted   = "deleted"
)

type (
	// writeResult is the outcome of apply or delete for one resource.
	writeResult struct {
		Kind    string `json:"kind"`
		Name    string `json:"name"`
		Version uint64 `json:"version,omitempty"`
		Result  string `json:"result"`
	}

	// conditionalWrite updates a resource that is at the given version, or creates
	// it when version is 0.
	conditionalWrite struct {
		key     objects.Key
		version uint64
		data    json.RawMessage
	}
)

func runApply(ctx context.Context, env Env, args []string) int {
	v := newInvocation(env, "apply")
	file := v.flags.String("f", "", "file of resources, or - for standard input")
	version := v.flags.String("version", "", "version that was read, for a file with one resource; 0: must not exist")
	overwrite := v.flags.Bool("overwrite", false, "replace the current version, whatever it is")
	if err := v.parse(args); err != nil {
		return v.reportError(err)
	}
	docs, err := readDocuments(env.Stdin, *file, *version)
	if err != nil {
		return v.reportError(&exitError{code: ExitUsage, err: err})
	}
	store, cleanup, err := v.open()
	if err != nil {
		return v.reportError(err)
	}
	defer cleanup()
	return v.applyAll(ctx, store, docs, *overwrite)
}

// readDocuments reads and validates the whole file before anything is written.
func readDocuments(stdin io.Reader, file, version string) ([]resource.Document, error) {
	data, err := readFile(stdin, file)
	if err != nil {
		return nil, err
	}
	docs, err := resource.DecodeFile(data)
	if err != nil {
		return nil, err
	}
	if len(docs) == 0 {
		return nil, eris.New("the file contains no resource")
	}
	if version == "" {
		return docs, nil
	}
	n, err := strconv.ParseUint(version, 10, 64)
	if err != nil {
		return nil, eris.Wrapf(err, "-version %q", version)
	}
	if len(docs) > 1 {
		return nil, eris.Errorf("-version is for one resource, the file contains %d", len(docs))
	}
	docs[0].Version = &n
	return docs, nil
}

func readFile(stdin io.Reader, file string) ([]byte, error) {
	switch file {
	case "":
		return nil, eris.New("no file: give -f FILE or -f -")
	case "-":
		data, err := io.ReadAll(io.LimitReader(stdin, resource.MaxFileBytes+1))
		return data, eris.Wrap(err, "read standard input")
	}
	data, err := os.ReadFile(file)
	return data, eris.Wrap(err, "read resources")
}

// applyAll applies each document independently; the first failure determines the
// exit code.
func (v *invocation) applyAll(ctx context.Context, store objects.Store, docs []resource.Document, overwrite bool) int {
	var results []writeResult
	code := ExitOK
	for _, doc := range docs {
		r, err := apply(ctx, store, doc, overwrite)
		if err == nil {
			results = append(results, r)
			continue
		}
		k := doc.Resource.Key()
		failureCode := v.reportError(eris.Wrapf(err, "%s %q", k.Kind, k.Name))
		if code == ExitOK {
			code = failureCode
		}
	}
	if err := v.printResults(results); err != nil {
		return v.reportError(err)
	}
	return code
}

// apply writes one resource on condition that it is still at the version that
// the operator read.
func apply(ctx context.Context, store objects.Store, doc resource.Document, overwrite bool) (writeResult, error) {
	data, err := resource.Encode(doc.Resource)
	if err != nil {
		return writeResult{}, &exitError{code: ExitUsage, err: err}
	}
	c := conditionalWrite{key: doc.Resource.Key(), data: data}
	if doc.Version != nil && !overwrite {
		c.version = *doc.Version
		return c.write(ctx, store)
	}
	current, err := store.Get(ctx, c.key)
	switch {
	case errors.Is(err, objects.ErrNotFound):
		return c.write(ctx, store)
	case err != nil:
		return writeResult{}, eris.Wrap(err, "read the resource")
	case equalJSON(current.Data, data):
		return c.result(resultUnchanged, current.Version), nil
	case !overwrite:
		return writeResult{}, exitf(ExitConflict,
			"it exists at version %d and the file gives no version that was read; nothing was written: "+
				"compare with `get %s %s -o yaml`, then apply with `version: %d`",
			current.Version, c.key.Kind, c.key.Name, current.Version)
	}
	c.version = current.Version
	return c.write(ctx, store)
}

// write creates or updates the resource. When the reply is lost, it reads the
// resource back to find out whether the write took effect.
func (c conditionalWrite) write(ctx context.Context, store objects.Store) (writeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	o, err := objects.WriteWithReadBack(ctx, store, objects.ConditionalWrite{
		Key: c.key, Version: c.version, Data: c.data,
		Written: func(o objects.Object) bool { return o.Version > c.version && equalJSON(o.Data, c.data) },
	}, objects.Backoff{Base: readBackInterval, Max: time.Second})
	switch {
	case err == nil && c.version == 0:
		return c.result(resultCreated, o.Version), nil
	case err == nil:
		return c.result(resultChanged, o.Version), nil
	case errors.Is(err, objects.ErrConflict):
		return c.explainConflict(ctx, store)
	}
	return writeResult{}, eris.Wrap(err, "write the resource")
}

// explainConflict returns an error that names both versions. It is not a
// conflict when the resource already has the wanted content.
func (c conditionalWrite) explainConflict(ctx context.Context, store objects.Store) (writeResult, error) {
	current, err := store.Get(ctx, c.key)
	switch {
	case errors.Is(err, objects.ErrNotFound):
		return writeResult{}, exitf(ExitConflict, "it was read at version %d and has been deleted since; nothing was written", c.version)
	case err != nil:
		return writeResult{}, exitf(ExitConflict, "it is no longer at version %d; nothing was written", c.version)
	case equalJSON(current.Data, c.data):
		return c.result(resultUnchanged, current.Version), nil
	case c.version == 0:
		return writeResult{}, exitf(ExitConflict, "it must not exist, and exists at version %d; nothing was written", current.Version)
	}
	return writeResult{}, exitf(ExitConflict, "it was read at version %d and is at version %d now; nothing was written",
		c.version, current.Version)
}

func (c conditionalWrite) result(outcome string, version uint64) writeResult {
	return writeResult{Kind: c.key.Kind, Name: c.key.Name, Version: version, Result: outcome}
}

func (v *invocation) printResults(results []writeResult) error {
	if v.output != outputTable {
		return v.printValue(results)
	}
	for _, r := range results {
		_, _ = fmt.Fprintf(v.env.Stdout, "%s %s %s at version %d\n", r.Kind, r.Name, r.Result, r.Version)
	}
	return nil
}

func runDelete(ctx context.Context, env Env, args []string) int {
	v := newInvocation(env, "delete")
	version := v.flags.Uint64("version", 0, "version that was read; 0 deletes the current version")
	if err := v.parse(args); err != nil {
		return v.reportError(err)
	}
	k, err := v.resourceKey()
	if err != nil {
		return v.reportError(err)
	}
	store, cleanup, err := v.open()
	if err != nil {
		return v.reportError(err)
	}
	defer cleanup()
	r, err := deleteResource(ctx, store, k, *version)
	if err != nil {
		return v.reportError(err)
	}
	return v.reportError(v.printResults([]writeResult{r}))
}

// deleteResource deletes one version of a resource. When the reply is lost, it
// reads the resource back to find out whether the delete took effect.
func deleteResource(ctx context.Context, store objects.Store, k objects.Key, version uint64) (writeResult, error) {
	current, err := store.Get(ctx, k)
	if err != nil {
		return writeResult{}, eris.Wrapf(err, "read %s %q", k.Kind, k.Name)
	}
	if version == 0 {
		version = current.Version
	}
	result := writeResult{Kind: k.Kind, Name: k.Name, Result: resultDeleted}
	o, err := store.Delete(ctx, k, version)
	for i := 0; errors.Is(err, objects.ErrUnknownOutcome) && i < readBackAttempts; i++ {
		current, err = store.Get(ctx, k)
		switch {
		case errors.Is(err, objects.ErrNotFound):
			// The tombstone's version was lost with the reply. A wait without
			// -version then waits for all current resources instead.
			return result, nil
		case err != nil:
			err = objects.ErrUnknownOutcome
			_ = objects.Sleep(ctx, readBackInterval)
		case current.Version != version:
			err = objects.ErrConflict
		default:
			o, err = store.Delete(ctx, k, version)
		}
	}
	if errors.Is(err, objects.ErrConflict) {
		return writeResult{}, exitf(ExitConflict, "%s %q was read at version %d and is no longer at it; nothing was deleted",
			k.Kind, k.Name, version)
	}
	result.Version = o.Version
	return result, eris.Wrapf(err, "delete %s %q", k.Kind, k.Name)
}

// equalJSON compares two JSON values, ignoring white space and the order of fields.
func equalJSON(a, b []byte) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	return reflect.DeepEqual(x, y)
}
