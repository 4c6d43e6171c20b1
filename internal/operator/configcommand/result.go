package configcommand

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/rotisserie/eris"

	"hickoryrock/internal/operator/command"
	"hickoryrock/internal/operator/configcheck"
)

// result is what the command prints with -json.
type result struct {
	// Version is the configuration's version; 0 if it cannot be decoded.
	Version  int64                 `json:"version"`
	Errors   int                   `json:"errors"`
	Warnings int                   `json:"warnings"`
	Findings []configcheck.Finding `json:"findings"`
	// Against is the version that it is compared with, and Changes the differences; both are
	// missing without a comparison, Changes also if the configuration cannot be decoded.
	Against *int64               `json:"against,omitempty"`
	Changes []configcheck.Change `json:"changes,omitzero"`

	isDecoded bool
}

func newResult(in inputs) result {
	r := result{Findings: configcheck.Check(in.document, in.options...)}
	r.Errors = configcheck.Count(r.Findings, configcheck.SeverityError)
	r.Warnings = configcheck.Count(r.Findings, configcheck.SeverityWarning)
	if in.earlier != nil {
		r.Against = &in.earlier.Configuration.Version
	}
	if in.document.Configuration == nil {
		return r
	}
	r.isDecoded, r.Version = true, in.document.Configuration.Version
	if in.earlier != nil {
		r.Changes = configcheck.Compare(in.earlier, in.document)
	}
	return r
}

func (r result) exitCode() int {
	switch {
	case r.Errors > 0:
		return ExitErrors
	case r.Warnings > 0:
		return ExitWarnings
	}
	return command.ExitOK
}

// write prints the result for a file in one write.
func (r result) write(w io.Writer, file string, asJSON bool) error {
	var b bytes.Buffer
	if asJSON {
		encoder := json.NewEncoder(&b)
		encoder.SetEscapeHTML(false)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(r); err != nil {
			return eris.Wrap(err, "encode result")
		}
	} else {
		r.print(&b, file)
	}
	_, err := w.Write(b.Bytes())
	return eris.Wrap(err, "write result")
}

func (r result) print(b *bytes.Buffer, file string) {
	for _, f := range r.Findings {
		_, _ = fmt.Fprintf(b, "%s:%d:%d: %s: %s (%s at %q)\n", file, f.Line, f.Column, f.Severity, f.Text, f.Code, f.Pointer)
	}
	if !r.isDecoded {
		_, _ = fmt.Fprintf(b, "%s cannot be decoded: %s; nothing else was checked\n", file, count(r.Errors, "error"))
		return
	}
	_, _ = fmt.Fprintf(b, "version %d: %s, %s\n", r.Version, count(r.Errors, "error"), count(r.Warnings, "warning"))
	if r.Against == nil {
		return
	}
	_, _ = fmt.Fprintf(b, "%s from version %d\n", count(len(r.Changes), "difference"), *r.Against)
	for _, c := range r.Changes {
		_, _ = fmt.Fprintf(b, "  %s\n", c.Text)
	}
}

// count returns a number with its noun.
func count(n int, noun string) string {
	switch n {
	case 0:
		return "no " + noun + "s"
	case 1:
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
